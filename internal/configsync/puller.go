package configsync

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/peerhttp"
)

const (
	// pullAfter is how long a peer may have a newer configuration before it is
	// asked for it: VMs that wait for it at the store get it at the same time.
	pullAfter = 100 * time.Millisecond
	// pullPause is the time between two pulls: of versions that come in quick
	// succession one is taken for several.
	pullPause = 300 * time.Millisecond
	// storeAfter is how long a peer may have a newer configuration before it is
	// read from the store: the peers that have it can't be reached over TCP.
	storeAfter = 800 * time.Millisecond
	// pullTimeout bounds a pull: an answer of 18 kB takes 15 ms on links of
	// 10 Mbit/s, and may wait behind a burst of prompts.
	pullTimeout = 600 * time.Millisecond
)

// Puller gets newer configurations from the peers that tell of them. It is safe
// for concurrent use.
type Puller struct {
	clock  clock.Clock
	own    func() uint64 // version in force
	config *keyedlog.Follower
	peers  *peerhttp.Client

	mu     sync.Mutex
	newest uint64     // version that a peer has told
	behind clock.Time // since when a peer has had a newer one, zero if none
	next   clock.Time // no pull begins before it
	busy   bool       // a pull is under way
}

// NewPuller returns a puller that feeds config; own returns the version in force.
func NewPuller(c clock.Clock, own func() uint64, config *keyedlog.Follower) *Puller {
	return &Puller{clock: c, own: own, config: config, peers: peerhttp.New()}
}

// Heard takes the version that the VM at addr serves by.
func (p *Puller) Heard(addr string, version uint64) {
	own := p.own()
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newest = max(p.newest, version)
	switch {
	case p.newest <= own:
		p.behind = 0
		return
	case p.behind == 0:
		p.behind = now
		go p.again(addr, version)
		return
	case now.Sub(p.behind) >= storeAfter:
		p.behind = now
		p.config.Wake()
	}
	if version > own && !p.busy && now >= p.next && now.Sub(p.behind) >= pullAfter {
		p.busy = true
		go p.pull(addr)
	}
}

// again looks once more after a while: it may take long until another VM tells.
func (p *Puller) again(addr string, version uint64) {
	time.Sleep(pullAfter)
	p.Heard(addr, version)
}

// pull gets the configuration of the VM at addr.
func (p *Puller) pull(addr string) {
	e, err := p.get(addr)
	if err == nil {
		p.config.ReceiveEntry(e)
	}
	log.WithError(err).WithField("vm", addr).WithField("offset", e.Offset).WithField("version", p.own()).Info("configuration asked of a VM")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
	p.next = p.clock.Now().Add(pullPause)
}

func (p *Puller) get(addr string) (keyedlog.Entry, error) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var e keyedlog.Entry
	err := p.peers.Get(ctx, addr, Path, func(body io.Reader) error {
		var err error
		e, err = unpack(body)
		return err
	})
	return e, err
}
