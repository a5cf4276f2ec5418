// Package workspace finds the workspace that an API key belongs to.
//
// Keys are kept and compared as digests only, so that none can appear in a log, a
// metric or a message.
package workspace

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"
)

// Digest stands for a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Workspace is a group of callers who share keys.
type Workspace struct {
	Name string
	// Priority replaces that of the route, 0 is the most urgent. It is nil if the
	// workspace has none.
	Priority *int
}

// Entry is a workspace with its keys, as a configuration lists it.
type Entry struct {
	Workspace
	Keys []string
}

// Errors of NewDirectory. None of their texts holds a key.
var (
	ErrNoName    = errors.New("5005 bad-workspace: a workspace has no name")
	ErrBadKey    = errors.New("5005 bad-workspace: a key is empty or has bytes that no header may hold")
	ErrSharedKey = errors.New("5005 bad-workspace: two workspaces have one key")
)

// Directory finds workspaces by their keys. It doesn't change once it is built.
type Directory struct {
	entries map[uint64][]entry // by the first bytes of the digest
	names   []string
}

type entry struct {
	digest    Digest
	workspace *Workspace
}

// NewDirectory returns a directory of the listed workspaces.
func NewDirectory(list []Entry) (*Directory, error) {
	d := &Directory{entries: make(map[uint64][]entry, 2*len(list))}
	for i := range list {
		if list[i].Name == "" {
			return nil, ErrNoName
		}
		d.names = append(d.names, list[i].Name)
		if err := d.add(&list[i].Workspace, list[i].Keys); err != nil {
			return nil, fmt.Errorf("%w: workspace %q", err, list[i].Name)
		}
	}
	return d, nil
}

func (d *Directory) add(w *Workspace, keys []string) error {
	for _, key := range keys {
		if !sendable(key) {
			return ErrBadKey
		}
		digest := DigestOf(key)
		if other := d.Find(digest); other != nil && other.Name != w.Name {
			return ErrSharedKey
		}
		at := prefix(&digest)
		d.entries[at] = append(d.entries[at], entry{digest, w})
	}
	return nil
}

// sendable tells whether a header can hold the key.
func sendable(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return key != ""
}

func prefix(d *Digest) uint64 { return binary.LittleEndian.Uint64(d[:]) }

// Find returns the workspace that holds the key with the given digest, or nil. The
// time that it takes doesn't tell how much of a digest fits.
func (d *Directory) Find(digest Digest) *Workspace {
	var found *Workspace
	for _, e := range d.entries[prefix(&digest)] {
		if subtle.ConstantTimeCompare(e.digest[:], digest[:]) == 1 {
			found = e.workspace
		}
	}
	return found
}

// Names returns the names of the workspaces, in the order of the configuration.
func (d *Directory) Names() []string { return d.names }
