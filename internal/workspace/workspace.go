// Package workspace finds the workspace that an API key belongs to.
//
// Keys are stored and compared as digests only, so that no key can appear in a log, a metric or a
// message.
package workspace

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Workspace is a group of callers who share keys.
type Workspace struct {
	Name string
	// Priority overrides the priority of the route; 0 is the most urgent. It is nil if the
	// workspace has none.
	Priority *int
}

// Entry is a workspace with its keys, as a configuration lists it.
type Entry struct {
	Workspace
	Keys []string
}

// Errors of NewDirectory. Their texts contain no keys.
var (
	ErrNoName    = errors.New("5005 bad-workspace: a workspace has no name")
	ErrBadKey    = errors.New("5005 bad-workspace: a key is empty or has bytes that no header may hold")
	ErrSharedKey = errors.New("5005 bad-workspace: two workspaces have one key")
)

// Directory finds workspaces by their keys. It is immutable, and so safe for concurrent use.
type Directory struct {
	entries map[uint64][]entry // by the first bytes of the digest
	names   []string
}

type entry struct {
	digest    Digest
	workspace *Workspace
}

// NewDirectory returns a directory of the listed workspaces, or an error if a workspace has no name,
// a key can't be sent in a header, or two workspaces share a key.
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
		if !validHeaderValue(key) {
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

// validHeaderValue reports whether a header can hold the key: it is non-empty printable ASCII without
// spaces.
func validHeaderValue(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return key != ""
}

func prefix(d *Digest) uint64 { return binary.LittleEndian.Uint64(d[:]) }

// Find returns the workspace that has the key with the given digest, or nil. Digests are compared in
// constant time, so that its duration doesn't reveal how much of a digest matches.
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
