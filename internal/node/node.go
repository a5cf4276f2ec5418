// Package node holds what every process on an entry VM knows of itself from
// its settings, and opens the platform's services by driver name.
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

// Settings are the keys common to fescue-entry and fescue-control.
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

// Addresses that this process listens on, host:port with an IP number.
type Addresses struct {
	Caller string `json:"caller,omitempty"` // callers' HTTP; fescue-entry only
	Peer   string `json:"peer,omitempty"`   // the system's own processes; fescue-entry only
	Status string `json:"status"`           // status, metrics and burn for operators
}

// Streams names the log streams.
type Streams struct {
	Config  string `json:"config"`
	Control string `json:"control"`
	Commits string `json:"commits"`
}

// Lease times of the authority over engines.
type Lease struct {
	TTL           settings.Duration `json:"ttl"`        // from the renewal that the log shows
	RenewInterval settings.Duration `json:"renew"`      // between renewals
	Margin        settings.Duration `json:"margin"`     // added by others for clock rate
	MaxOrderDelay settings.Duration `json:"max_flight"` // longest time an order may be on its way
}

// Gossip times between peers.
type Gossip struct {
	Interval       settings.Duration `json:"every"`
	SuspectTimeout settings.Duration `json:"suspect"` // silence after which a peer is suspect
	GoneTimeout    settings.Duration `json:"gone"`    // silence after which a peer is gone
}

// Defaults returns settings with every optional key set. Grounds: a lease of
// 6 s renewed every 2 s survives two lost renewals and leaves an engine
// without orders for under 10 s; gossip each 500 ms notices a leaving VM well
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
	requireText(p, "deployment", s.Deployment)
	requireText(p, "vm", s.VM)
	requireText(p, "zone", s.Zone)
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
	positive(p, "longest_drain", s.DrainTimeout)
	positive(p, "lease.ttl", s.Lease.TTL)
	positive(p, "lease.renew", s.Lease.RenewInterval)
	positive(p, "lease.margin", s.Lease.Margin)
	positive(p, "lease.max_flight", s.Lease.MaxOrderDelay)
	positive(p, "gossip.every", s.Gossip.Interval)
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

// CheckAddress reports an address that is absent or not host:port with an IP
// number, the only form that works without a name service.
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

// CheckTarget reports a target whose address or driver is wrong.
func CheckTarget(p *settings.Problems, path string, t driver.Target, known []string) {
	CheckAddress(p, path+".address", t.Address)
	for _, k := range known {
		if k == t.Driver {
			return
		}
	}
	p.Add(path+".driver", code.BadSettings, "is %q; allowed: %v", t.Driver, known)
}

func requireText(p *settings.Problems, path, v string) {
	if v == "" {
		p.Add(path, code.MissingSetting, "is required")
	}
}

func positive(p *settings.Problems, path string, d settings.Duration) {
	if d <= 0 {
		p.Add(path, code.BadSettings, "is %s; allowed: more than 0", d.D())
	}
}

// NewIncarnation returns an id that no other start of any process has.
func NewIncarnation() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic("node: no randomness: " + err.Error())
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
