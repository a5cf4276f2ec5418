package sheet

import (
	"fmt"
	"net"
	"strconv"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/settings"
)

// maxUnavailableLimit is the largest allowed max_away_share. With more than half of a pool
// unavailable at once, the remaining capacity is less than what the change takes, whatever the
// pool's mix.
const maxUnavailableLimit = 0.5

// Parse decodes and validates the text of a sheet. The error is a *settings.Problems with every
// problem found, in which file is the name of the text.
func Parse(file string, body []byte) (*Sheet, error) {
	s := &Sheet{}
	if err := settings.Decode(file, body, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Validate implements settings.Validator and adds a problem for every rule that the sheet breaks.
// Every reader of the log decides with it whether a publish is accepted. The result must therefore be
// the same on all nodes and depend only on the sheet.
func (s *Sheet) Validate(problems *settings.Problems) {
	v := &validator{problems: problems, engines: map[string]*Engine{}, poolOf: map[string]string{}}
	v.required("deployment", s.Deployment)
	v.checkEngines(s.Engines)
	v.checkPools(s.Pools)
	v.checkServices(s.Services)
	v.checkClasses(s.Classes)
	v.checkLimits(&s.Limits)
}

type validator struct {
	problems *settings.Problems
	engines  map[string]*Engine
	poolOf   map[string]string // by engine, the first pool that lists it
}

func (v *validator) invalid(path, format string, args ...any) {
	v.problems.Add(path, code.BadSheet, format, args...)
}

func (v *validator) required(path, value string) {
	if value == "" {
		v.problems.Add(path, code.MissingSetting, "is required")
	}
}

// unique adds a problem if the name is empty or repeated, and reports whether it is neither.
func (v *validator) unique(seen map[string]bool, path, name string) bool {
	v.required(path, name)
	if name == "" {
		return false
	}
	if seen[name] {
		v.problems.Add(path, code.DuplicateName, "%q stands twice", name)
		return false
	}
	seen[name] = true
	return true
}

// address adds a problem unless addr is host:port with a port above 0.
func (v *validator) address(path, addr string) {
	if addr == "" {
		v.required(path, addr)
		return
	}
	host, port, err := net.SplitHostPort(addr)
	n, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || host == "" || portErr != nil || n == 0 {
		v.invalid(path, "%q is not an address; allowed: host:port with a port from 1 to 65535", addr)
	}
}

func (v *validator) checkEngines(list []Engine) {
	seen, engineByAddress := map[string]bool{}, map[string]string{}
	for i := range list {
		e, path := &list[i], fmt.Sprintf("engines[%d]", i)
		if v.unique(seen, path+".name", e.Name) {
			v.engines[e.Name] = e
		}
		v.required(path+".zone", e.Zone)
		v.required(path+".driver", e.Driver)
		v.address(path+".address", e.Address)
		if other, used := engineByAddress[e.Address]; used && e.Address != "" {
			v.invalid(path+".address", "%s is the address of engine %q too", e.Address, other)
		}
		engineByAddress[e.Address] = e.Name
	}
}

func (v *validator) checkPools(list []Pool) {
	seen := map[string]bool{}
	for i := range list {
		pool, path := &list[i], fmt.Sprintf("pools[%d]", i)
		v.unique(seen, path+".name", pool.Name)
		v.required(path+".model", pool.Model)
		v.required(path+".version", pool.Version)
		v.checkAdapters(path, pool.Adapters)
		members := v.checkMembers(path, pool)
		v.checkRoles(path+".roles", &pool.Roles, members)
		if pool.MaxUnavailableShare <= 0 || pool.MaxUnavailableShare > maxUnavailableLimit {
			v.invalid(path+".max_away_share", "is %v; allowed: above 0 and up to %v", pool.MaxUnavailableShare, maxUnavailableLimit)
		}
	}
}

func (v *validator) checkAdapters(poolPath string, list []Adapter) {
	seen := map[string]bool{}
	for i, a := range list {
		path := fmt.Sprintf("%s.adapters[%d]", poolPath, i)
		v.unique(seen, path+".name", a.Name)
		v.required(path+".version", a.Version)
	}
}

// checkMembers checks the pool's list of engines and returns those that are not withdrawn.
func (v *validator) checkMembers(poolPath string, pool *Pool) map[string]bool {
	members, seen := map[string]bool{}, map[string]bool{}
	if len(pool.Engines) == 0 {
		v.invalid(poolPath+".engines", "names no engine")
	}
	for i, name := range pool.Engines {
		path := fmt.Sprintf("%s.engines[%d]", poolPath, i)
		if !v.unique(seen, path, name) {
			continue
		}
		e, exists := v.engines[name]
		if !exists {
			v.invalid(path, "%q is no engine of this sheet", name)
			continue
		}
		if other, used := v.poolOf[name]; used {
			v.invalid(path, "engine %q is in pool %q too", name, other)
			continue
		}
		v.poolOf[name] = pool.Name
		if !e.Withdrawn {
			members[name] = true
		}
	}
	return members
}

func (v *validator) checkRoles(path string, r *Roles, members map[string]bool) {
	fixedPrefill, fixedDecode := 0, 0
	for _, name := range sortedKeys(r.Fixed) {
		switch r.Fixed[name] {
		case driver.RolePrefill:
			fixedPrefill++
		case driver.RoleDecode:
			fixedDecode++
		case driver.RoleMixed:
		default:
			v.invalid(path+".fixed."+name, "is %q; allowed: prefill, decode, mixed", r.Fixed[name])
		}
		if !members[name] {
			v.invalid(path+".fixed."+name, "%q is no engine of this pool, or is withdrawn", name)
		}
	}
	v.atLeast(path+".min_prefill", r.MinPrefill, 0)
	v.atLeast(path+".min_decode", r.MinDecode, 0)
	v.atLeast(path+".max_changes_per_hour", r.MaxChangesPerHour, 0)
	if r.ChangeCost < 0 {
		v.invalid(path+".change_price", "is %v; allowed: 0 or more", r.ChangeCost)
	}
	unfixed := len(members) - len(r.Fixed)
	if need := max(r.MinPrefill-fixedPrefill, 0) + max(r.MinDecode-fixedDecode, 0); need > max(unfixed, 0) {
		v.invalid(path, "min_prefill %d and min_decode %d need %d engines beside the fixed ones; the pool has %d",
			r.MinPrefill, r.MinDecode, need, max(unfixed, 0))
	}
}

func (v *validator) atLeast(path string, n, minimum int) {
	if n < minimum {
		v.invalid(path, "is %d; allowed: %d or more", n, minimum)
	}
}
