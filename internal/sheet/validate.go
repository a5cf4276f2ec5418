package sheet

import (
	"fmt"
	"net"
	"strconv"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/settings"
)

// maxAwayLimit is the largest max_away_share: more than half of a pool away at
// once leaves less capacity than the change takes, whatever the mix.
const maxAwayLimit = 0.5

// Parse decodes and validates the text of a sheet. The error is a
// *settings.Problems with everything that is wrong; file names the text in it.
func Parse(file string, body []byte) (*Sheet, error) {
	s := &Sheet{}
	if err := settings.Decode(file, body, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Validate implements settings.Validator: it adds every rule that the sheet
// breaks. The log's readers judge a publish by it, so it must give the same
// answer on every node and may depend on the sheet alone.
func (s *Sheet) Validate(p *settings.Problems) {
	v := &validation{p: p, engines: map[string]*Engine{}, poolOf: map[string]string{}}
	v.required("deployment", s.Deployment)
	v.checkEngines(s.Engines)
	v.checkPools(s.Pools)
	v.checkServices(s.Services)
	v.checkClasses(s.Classes)
	v.checkLimits(&s.Limits)
}

type validation struct {
	p       *settings.Problems
	engines map[string]*Engine
	poolOf  map[string]string // engine to the first pool that names it
}

func (v *validation) bad(path, format string, args ...any) {
	v.p.Add(path, code.BadSheet, format, args...)
}

func (v *validation) required(path, value string) {
	if value == "" {
		v.p.Add(path, code.MissingSetting, "is required")
	}
}

// unique reports an absent or repeated name and says whether it is usable.
func (v *validation) unique(seen map[string]bool, path, name string) bool {
	v.required(path, name)
	if name == "" {
		return false
	}
	if seen[name] {
		v.p.Add(path, code.DuplicateName, "%q stands twice", name)
		return false
	}
	seen[name] = true
	return true
}

func (v *validation) address(path, addr string) {
	if addr == "" {
		v.required(path, addr)
		return
	}
	host, port, err := net.SplitHostPort(addr)
	n, perr := strconv.ParseUint(port, 10, 16)
	if err != nil || host == "" || perr != nil || n == 0 {
		v.bad(path, "%q is not an address; allowed: host:port with a port from 1 to 65535", addr)
	}
}

func (v *validation) checkEngines(list []Engine) {
	seen, byAddress := map[string]bool{}, map[string]string{}
	for i := range list {
		e, at := &list[i], fmt.Sprintf("engines[%d]", i)
		if v.unique(seen, at+".name", e.Name) {
			v.engines[e.Name] = e
		}
		v.required(at+".zone", e.Zone)
		v.required(at+".driver", e.Driver)
		v.address(at+".address", e.Address)
		if other, taken := byAddress[e.Address]; taken && e.Address != "" {
			v.bad(at+".address", "%s is the address of engine %q too", e.Address, other)
		}
		byAddress[e.Address] = e.Name
	}
}

func (v *validation) checkPools(list []Pool) {
	seen := map[string]bool{}
	for i := range list {
		pool, at := &list[i], fmt.Sprintf("pools[%d]", i)
		v.unique(seen, at+".name", pool.Name)
		v.required(at+".model", pool.Model)
		v.required(at+".version", pool.Version)
		v.checkAdapters(at, pool.Adapters)
		members := v.checkMembers(at, pool)
		v.checkRoles(at+".roles", &pool.Roles, members)
		if pool.MaxUnavailableShare <= 0 || pool.MaxUnavailableShare > maxAwayLimit {
			v.bad(at+".max_away_share", "is %v; allowed: above 0 and up to %v", pool.MaxUnavailableShare, maxAwayLimit)
		}
	}
}

func (v *validation) checkAdapters(at string, list []Adapter) {
	seen := map[string]bool{}
	for i, a := range list {
		path := fmt.Sprintf("%s.adapters[%d]", at, i)
		v.unique(seen, path+".name", a.Name)
		v.required(path+".version", a.Version)
	}
}

// checkMembers returns the pool's engines that are not withdrawn.
func (v *validation) checkMembers(at string, pool *Pool) map[string]bool {
	members, seen := map[string]bool{}, map[string]bool{}
	if len(pool.Engines) == 0 {
		v.bad(at+".engines", "names no engine")
	}
	for i, name := range pool.Engines {
		path := fmt.Sprintf("%s.engines[%d]", at, i)
		if !v.unique(seen, path, name) {
			continue
		}
		e, known := v.engines[name]
		if !known {
			v.bad(path, "%q is no engine of this sheet", name)
			continue
		}
		if other, taken := v.poolOf[name]; taken {
			v.bad(path, "engine %q is in pool %q too", name, other)
			continue
		}
		v.poolOf[name] = pool.Name
		if !e.Withdrawn {
			members[name] = true
		}
	}
	return members
}

func (v *validation) checkRoles(at string, r *Roles, members map[string]bool) {
	prefill, decode := 0, 0
	for _, name := range sortedKeys(r.Fixed) {
		switch r.Fixed[name] {
		case driver.RolePrefill:
			prefill++
		case driver.RoleDecode:
			decode++
		case driver.RoleMixed:
		default:
			v.bad(at+".fixed."+name, "is %q; allowed: prefill, decode, mixed", r.Fixed[name])
		}
		if !members[name] {
			v.bad(at+".fixed."+name, "%q is no engine of this pool, or is withdrawn", name)
		}
	}
	v.atLeast(at+".min_prefill", r.MinPrefill, 0)
	v.atLeast(at+".min_decode", r.MinDecode, 0)
	v.atLeast(at+".max_changes_per_hour", r.MaxChangesPerHour, 0)
	if r.ChangeCost < 0 {
		v.bad(at+".change_price", "is %v; allowed: 0 or more", r.ChangeCost)
	}
	free := len(members) - len(r.Fixed)
	if need := max(r.MinPrefill-prefill, 0) + max(r.MinDecode-decode, 0); need > max(free, 0) {
		v.bad(at, "min_prefill %d and min_decode %d need %d engines beside the fixed ones; the pool has %d",
			r.MinPrefill, r.MinDecode, need, max(free, 0))
	}
}

func (v *validation) atLeast(path string, n, least int) {
	if n < least {
		v.bad(path, "is %d; allowed: %d or more", n, least)
	}
}
