package control

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/logclient"
	"fescuestand/internal/wire"
)

// checkpointer spaces this process's checkpoints of the control stream.
type checkpointState struct {
	due          clock.Time
	scheduled    bool
	writing      bool
	unknownSince clock.Time // since when no state is known, with jitter
}

// beginAfter is how long nobody may have renewed before the state begins anew:
// several leases, and long enough for a process that knows the state to write
// its checkpoint.
const resetAfter = 30 * time.Second

// checkpointSpread is over how long the processes spread their turns.
const checkpointJitter = 10 * time.Second

// checkpoint writes the holdings again when that is due; see
// logclient.CheckpointDue.
func (s *state) checkpoint() {
	p := s.opt.Log.Progress(s.opt.Stream)
	if !s.authority.Established() {
		s.resetAuthority(p)
		return
	}
	s.ckpt.unknownSince = 0
	if s.ckpt.writing {
		return
	}
	if !p.Read || !logclient.CheckpointDue(s.authority.LastCheckpoint(), p, time.Now(), s.opt.CheckpointInterval) {
		s.ckpt.scheduled = false
		return
	}
	if !s.ckpt.scheduled {
		s.ckpt.scheduled, s.ckpt.due = true, s.now().Add(rand.N(checkpointJitter))
	}
	if s.now() < s.ckpt.due {
		return
	}
	s.writeCheckpoint(s.authority.Checkpoint())
}

// beginAnew ends the state in which no process can know who holds what: the
// stream was read to its end, holds no checkpoint that can be used, and nobody
// has renewed for long, so nobody else knows either. See
// fold.Authority for the failure.
func (s *state) resetAuthority(p logclient.Progress) {
	now := s.now()
	if !p.Fresh() || s.ckpt.writing {
		s.ckpt.unknownSince = 0
		return
	}
	if s.ckpt.unknownSince == 0 {
		s.ckpt.unknownSince = now.Add(rand.N(checkpointJitter))
	}
	if now.Sub(s.ckpt.unknownSince) < resetAfter || s.tracker.AnyRecent(now) {
		return
	}
	log.WithField("stream", s.opt.Stream).WithField("code", int(code.LogExpired)).Warn("no state is known to anyone, beginning anew")
	s.ckpt.unknownSince = 0
	s.writeCheckpoint(&wire.AuthorityCheckpoint{Begin: true})
}

func (s *state) writeCheckpoint(cp *wire.AuthorityCheckpoint) {
	s.ckpt.writing, s.ckpt.scheduled = true, false
	entry := &wire.Entry{Kind: &wire.Entry_AuthorityCheckpoint{AuthorityCheckpoint: cp}}
	s.c.wg.Go(func() {
		_, err := s.opt.Log.Append(s.ctx, s.opt.Stream, entry)
		_ = s.c.postBlocking(s.ctx, checkpointWritten{err})
	})
}

// checkpointed ends the writing of a checkpoint.
type checkpointWritten struct{ err error }

func (e checkpointWritten) apply(s *state) {
	s.ckpt.writing = false
	if e.err != nil {
		log.WithError(e.err).WithField("code", int(code.Of(e.err).Code)).Warn("checkpoint not written")
	}
}
