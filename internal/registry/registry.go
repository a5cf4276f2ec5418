// Package registry keeps plug-ins that packages register from init and that settings or the sheet
// select by name.
package registry

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
)

// Registry maps names to plug-ins of one type.
type Registry[T any] struct {
	kind    string
	mu      sync.RWMutex
	plugins map[string]plugin[T]
}

type plugin[T any] struct {
	value T
	owner string // package that registered it
}

// New returns an empty registry; error messages call its plug-ins kind.
func New[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, plugins: map[string]plugin[T]{}}
}

// Register adds a plug-in; packages call it from init. It panics if the name is taken, and the
// message names both packages: otherwise the order of imports would determine which of the two
// plug-ins is used.
func (r *Registry[T]) Register(name string, value T) {
	owner := callerPackage()
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, taken := r.plugins[name]; taken {
		panic(fmt.Sprintf("registry: %s %q registered by both %s and %s", r.kind, name, old.owner, owner))
	}
	r.plugins[name] = plugin[T]{value: value, owner: owner}
}

// Get returns the plug-in with the given name. If there is none, the error lists the registered
// names.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if p, ok := r.plugins[name]; ok {
		return p.value, nil
	}
	var zero T
	return zero, fmt.Errorf("unknown %s %q; known: %s", r.kind, name, strings.Join(r.names(), ", "))
}

// Names returns the registered names in sorted order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names()
}

func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.plugins))
	for n := range r.plugins {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// callerPackage returns the path of the package that called Register.
func callerPackage() string {
	const skip = 2 // this function and Register
	pc, _, _, ok := runtime.Caller(skip)
	if !ok {
		return "unknown package"
	}
	name := runtime.FuncForPC(pc).Name()
	slash := strings.LastIndexByte(name, '/') + 1
	if dot := strings.IndexByte(name[slash:], '.'); dot >= 0 {
		return name[:slash+dot]
	}
	return name
}
