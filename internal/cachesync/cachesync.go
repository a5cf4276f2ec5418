// Package cachesync initializes a VM's record of what engines have cached.
//
// A VM's record of the engines' caches is lost with its process, while the engines keep their
// caches. Load pattern: VMs are restarted one after the other, or all at once, under full load.
// Without this package a restarted VM assumes that no shared prompt part is cached anywhere: for
// seconds it sends prompts to engines that must prefill them again, just when callers whose
// connections were cut retry.
//
// A starting VM copies the record of a VM that tracks the caches. After a restart of all VMs there
// is none: then each engine is queried once for its list, by the VM that it is assigned to, which
// sends the list to the other VMs.
package cachesync

import (
	"fescuestand/internal/catalog"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/wire"
)

// Prefix encodes that e has parts cached.
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

// Parts decodes the parts of c, except those without a size.
func Parts(c *wire.CachedPrefix) []place.Part {
	parts := make([]place.Part, 0, len(c.GetPart()))
	for i, id := range c.GetPart() {
		if i < len(c.GetTokens()) {
			parts = append(parts, place.Part{ID: id, Tokens: int(c.GetTokens()[i])})
		}
	}
	return parts
}
