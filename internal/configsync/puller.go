package configsync

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/network"
	"fescuestand/internal/peerhttp"
)

const (
	// pullDelay is how long a peer must have had a newer configuration before this VM pulls it: VMs
	// with a waiting read at the store get it at the same time.
	pullDelay = 100 * time.Millisecond
	// minPullInterval is the minimum time between two pulls, so that one pull covers several
	// versions published in quick succession.
	minPullInterval = 300 * time.Millisecond
	// storeReadDelay is how long a peer must have had a newer configuration before this VM reads it
	// from the store: by then the peers that have it appear to be unreachable over TCP.
	storeReadDelay = 800 * time.Millisecond
	// pullTimeout bounds a pull. An answer of 18 kB takes 15 ms on links of 10 Mbit/s, and may queue
	// behind a burst of prompts.
	pullTimeout = 600 * time.Millisecond
)

// Puller pulls newer configurations from the peers that report their versions. It is safe for
// concurrent use.
type Puller struct {
	clock    clock.Clock
	inForce  func() uint64 // version in force at this VM
	follower *keyedlog.Follower
	peers    *peerhttp.Client

	mu            sync.Mutex
	newestAtPeers uint64     // newest version that a peer has reported
	behindSince   clock.Time // since when a peer has had a newer version, zero if none has
	nextPull      clock.Time // earliest time of the next pull
	pulling       bool
}

// NewPuller returns a puller that queries peers over n and passes configurations to follower; inForce returns
// the version in force at this VM.
func NewPuller(n network.Network, c clock.Clock, inForce func() uint64, follower *keyedlog.Follower) *Puller {
	return &Puller{clock: c, inForce: inForce, follower: follower, peers: peerhttp.New(n)}
}

// ReceiveVersion handles a report that the VM at addr serves by the given version. It starts a pull,
// or a read of the store, if this VM has been behind for long enough.
func (p *Puller) ReceiveVersion(addr string, version uint64) {
	inForce := p.inForce()
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newestAtPeers = max(p.newestAtPeers, version)
	switch {
	case p.newestAtPeers <= inForce:
		p.behindSince = 0
		return
	case p.behindSince == 0:
		p.behindSince = now
		go p.receiveAgain(addr, version)
		return
	case now.Sub(p.behindSince) >= storeReadDelay:
		p.behindSince = now
		p.follower.Wake()
	}
	if version > inForce && !p.pulling && now >= p.nextPull && now.Sub(p.behindSince) >= pullDelay {
		p.pulling = true
		go p.pull(addr)
	}
}

// receiveAgain handles the same report once more after pullDelay, since the next report may arrive
// much later.
func (p *Puller) receiveAgain(addr string, version uint64) {
	time.Sleep(pullDelay)
	p.ReceiveVersion(addr, version)
}

// pull fetches the configuration of the VM at addr and passes it to the follower.
func (p *Puller) pull(addr string) {
	e, err := p.get(addr)
	if err == nil {
		p.follower.ReceiveEntry(e)
	}
	log.WithError(err).WithField("vm", addr).WithField("era", uint64(e.Position.Era)).WithField("offset", e.Position.Offset).WithField("version", p.inForce()).Info("VM queried for configuration")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pulling = false
	p.nextPull = p.clock.Now().Add(minPullInterval)
}

func (p *Puller) get(addr string) (keyedlog.Entry, error) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	data, err := p.peers.Get(ctx, addr, Path, maxConfigBytes)
	if err != nil {
		return keyedlog.Entry{}, err
	}
	return decode(bytes.NewReader(data))
}
