// Package cachesync tells a VM that has started what engines have cached.
//
// A VM's beliefs about caches end with its process, while the engines keep what
// they have. Load pattern: VMs are restarted one after the other, or all at once,
// under full load. Without it a VM that has started takes every shared part for
// cold: for seconds prompts go to engines that must read them again, just when
// callers that were cut off come back.
//
// A VM that starts asks one that knows. After a loss of all VMs nobody does: each
// engine is then asked once for its own list, by one VM, which tells the others.
package cachesync

import (
	"fescuestand/internal/catalog"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/wire"
)

// Prefix tells that e has parts cached.
func Prefix(e *catalog.Endpoint, parts []place.Part) *wire.CachedPrefix {
	return encode(place.Cache{Endpoint: place.Key(e.ID), Parts: parts})
}

func encode(cache place.Cache) *wire.CachedPrefix {
	c := &wire.CachedPrefix{Endpoint: cache.Endpoint}
	for _, p := range cache.Parts {
		c.Part = append(c.Part, p.ID)
		c.Tokens = append(c.Tokens, uint32(p.Tokens))
	}
	return c
}

// Parts returns the parts of c; those without a size are left out.
func Parts(c *wire.CachedPrefix) []place.Part {
	parts := make([]place.Part, 0, len(c.GetPart()))
	for i, id := range c.GetPart() {
		if i < len(c.GetTokens()) {
			parts = append(parts, place.Part{ID: id, Tokens: int(c.GetTokens()[i])})
		}
	}
	return parts
}
