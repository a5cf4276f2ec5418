// Package node defines the settings that all processes on an entry VM share, and opens the
// platform's services through the drivers that the settings select.
package node

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/settings"
)

// Settings are the settings common to fescue-entry and fescue-control.
// docs/SETTINGS.md describes each.
type Settings struct {
	Deployment   string            `json:"deployment"`
	VM           string            `json:"vm"`
	Zone         string            `json:"zone"`
	Addresses    Addresses         `json:"addresses"`
	Log          driver.Target     `json:"log"`
	Streams      Streams           `json:"streams"`
	VMList       driver.Target     `json:"vm_list"`
	WeightStore  driver.Target     `json:"weight_store"`
	DrainTimeout settings.Duration `json:"longest_drain"`
	Cells        int               `json:"cells"`
	Lease        Lease             `json:"lease"`
	Gossip       Gossip            `json:"gossip"`
}

// Addresses are the addresses that the process listens on, each an IP address with a port.
type Addresses struct {
	Caller string `json:"caller,omitempty"` // HTTP for callers; fescue-entry only
	Peer   string `json:"peer,omitempty"`   // for the system's other processes; fescue-entry only
	Status string `json:"status"`           // status, metrics and error budgets (/burn) for operators
}

// Streams names the log streams.
type Streams struct {
	Config  string `json:"config"`
	Control string `json:"control"`
	Commits string `json:"commits"`
}

// Lease configures the leases by which one process at a time may order an engine.
type Lease struct {
	TTL           settings.Duration `json:"ttl"`        // lifetime, counted from the renewal in the log
	RenewInterval settings.Duration `json:"renew"`      // time between renewals
	Margin        settings.Duration `json:"margin"`     // added by other processes for differences in clock rate
	MaxOrderDelay settings.Duration `json:"max_flight"` // maximum time between sending an order and its arrival
}

// Gossip configures the gossip between peers.
type Gossip struct {
	Interval       settings.Duration `json:"every"`
	SuspectTimeout settings.Duration `json:"suspect"` // time without a message after which a peer is suspect
	GoneTimeout    settings.Duration `json:"gone"`    // time without a message after which a peer is gone
}

// Defaults returns settings with every optional key set.
//
// A lease of 6 s that is renewed every 2 s survives two lost renewals and, if its holder fails,
// leaves an engine without orders for less than 10 s. Gossip every 500 ms detects a leaving VM well
// within the few seconds that callers are promised.
func Defaults() Settings {
	return Settings{
		Streams:      Streams{Config: "config", Control: "control", Commits: "commits"},
		DrainTimeout: settings.Duration(2 * time.Minute),
		Cells:        1,
		Lease: Lease{
			TTL:           settings.Duration(6 * time.Second),
			RenewInterval: settings.Duration(2 * time.Second),
			Margin:        settings.Duration(time.Second),
			MaxOrderDelay: settings.Duration(2 * time.Second),
		},
		Gossip: Gossip{
			Interval:       settings.Duration(500 * time.Millisecond),
			SuspectTimeout: settings.Duration(2 * time.Second),
			GoneTimeout:    settings.Duration(10 * time.Second),
		},
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate(p *settings.Problems) {
	requireNonEmpty(p, "deployment", s.Deployment)
	requireNonEmpty(p, "vm", s.VM)
	requireNonEmpty(p, "zone", s.Zone)
	CheckAddress(p, "addresses.status", s.Addresses.Status)
	CheckTarget(p, "log", s.Log, driver.Logs.Names())
	CheckTarget(p, "vm_list", s.VMList, driver.VMLists.Names())
	CheckTarget(p, "weight_store", s.WeightStore, driver.WeightStores.Names())
	if s.Cells < 1 {
		p.Add("cells", code.BadSettings, "is %d; allowed: 1 or more", s.Cells)
	}
	s.checkTimes(p)
}

func (s *Settings) checkTimes(p *settings.Problems) {
	requirePositive(p, "longest_drain", s.DrainTimeout)
	requirePositive(p, "lease.ttl", s.Lease.TTL)
	requirePositive(p, "lease.renew", s.Lease.RenewInterval)
	requirePositive(p, "lease.margin", s.Lease.Margin)
	requirePositive(p, "lease.max_flight", s.Lease.MaxOrderDelay)
	requirePositive(p, "gossip.every", s.Gossip.Interval)
	if s.Lease.RenewInterval*2 > s.Lease.TTL {
		p.Add("lease.renew", code.BadSettings, "is over half of lease.ttl; allowed: at most %s, so that one lost renewal does not lapse the lease", s.Lease.TTL.D()/2)
	}
	if s.Lease.MaxOrderDelay >= s.Lease.TTL {
		p.Add("lease.max_flight", code.BadSettings, "is %s; allowed: less than lease.ttl", s.Lease.MaxOrderDelay.D())
	}
	if s.Gossip.SuspectTimeout <= s.Gossip.Interval {
		p.Add("gossip.suspect", code.BadSettings, "is %s; allowed: more than gossip.every", s.Gossip.SuspectTimeout.D())
	}
	if s.Gossip.GoneTimeout <= s.Gossip.SuspectTimeout {
		p.Add("gossip.gone", code.BadSettings, "is %s; allowed: more than gossip.suspect", s.Gossip.GoneTimeout.D())
	}
}

// CheckServingAddresses checks the addresses that only fescue-entry listens on.
func (s *Settings) CheckServingAddresses(p *settings.Problems) {
	CheckAddress(p, "addresses.caller", s.Addresses.Caller)
	CheckAddress(p, "addresses.peer", s.Addresses.Peer)
}

// CheckAddress adds a problem to p if addr is missing or is not an IP address with a port, the only
// form that works without a name service.
func CheckAddress(p *settings.Problems, path, addr string) {
	if addr == "" {
		p.Add(path, code.MissingSetting, "is required; allowed: IP:port, such as \"127.0.0.1:7001\"")
		return
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
		p.Add(path, code.BadSettings, "%q is not an address; allowed: IP:port, such as \"127.0.0.1:7001\"", addr)
	}
}

// CheckTarget adds a problem to p if the address of t is invalid or its driver is not one of known.
func CheckTarget(p *settings.Problems, path string, t driver.Target, known []string) {
	CheckAddress(p, path+".address", t.Address)
	for _, name := range known {
		if name == t.Driver {
			return
		}
	}
	p.Add(path+".driver", code.BadSettings, "is %q; allowed: %v", t.Driver, known)
}

func requireNonEmpty(p *settings.Problems, path, v string) {
	if v == "" {
		p.Add(path, code.MissingSetting, "is required")
	}
}

func requirePositive(p *settings.Problems, path string, d settings.Duration) {
	if d <= 0 {
		p.Add(path, code.BadSettings, "is %s; allowed: more than 0", d.D())
	}
}

// NewIncarnation returns a random id that is unique to this start of the process.
func NewIncarnation() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic("node: can't read random bytes: " + err.Error())
	}
	return hex.EncodeToString(b[:])
}

// OpenLog opens the log service.
func (s *Settings) OpenLog() (driver.Log, error) {
	open, err := driver.Logs.Get(s.Log.Driver)
	if err != nil {
		return nil, err
	}
	return open(s.Log)
}

// OpenVMList opens the VM list.
func (s *Settings) OpenVMList() (driver.VMList, error) {
	open, err := driver.VMLists.Get(s.VMList.Driver)
	if err != nil {
		return nil, err
	}
	return open(s.VMList)
}

// OpenWeightStore opens the weight store.
func (s *Settings) OpenWeightStore() (driver.WeightStore, error) {
	open, err := driver.WeightStores.Get(s.WeightStore.Driver)
	if err != nil {
		return nil, err
	}
	return open(s.WeightStore)
}
