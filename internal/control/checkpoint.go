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
type checkpointer struct {
	due     clock.Time
	waiting bool
	writing bool
	lost    clock.Time // since when no state is known, with jitter
}

// beginAfter is how long nobody may have renewed before the state begins anew:
// several leases, and long enough for a process that knows the state to write
// its checkpoint.
const beginAfter = 30 * time.Second

// checkpointSpread is over how long the processes spread their turns.
const checkpointSpread = 10 * time.Second

// checkpoint writes the holdings again when that is due; see
// logclient.CheckpointDue.
func (s *state) checkpoint() {
	p := s.opt.Log.Progress(s.opt.Stream)
	if !s.auth.Established() {
		s.beginAnew(p)
		return
	}
	s.ckpt.lost = 0
	if s.ckpt.writing {
		return
	}
	if !p.Read || !logclient.CheckpointDue(s.auth.LastCheckpoint(), p, time.Now(), s.opt.CheckpointInterval) {
		s.ckpt.waiting = false
		return
	}
	if !s.ckpt.waiting {
		s.ckpt.waiting, s.ckpt.due = true, s.now().Add(rand.N(checkpointSpread))
	}
	if s.now() < s.ckpt.due {
		return
	}
	s.writeCheckpoint(s.auth.Checkpoint())
}

// beginAnew ends the state in which no process can know who holds what: the
// stream was read to its end, holds no checkpoint that can be used, and nobody
// has renewed for long, so nobody else knows either. See
// fold.Authority for the failure.
func (s *state) beginAnew(p logclient.Progress) {
	now := s.now()
	if !p.Fresh() || s.ckpt.writing {
		s.ckpt.lost = 0
		return
	}
	if s.ckpt.lost == 0 {
		s.ckpt.lost = now.Add(rand.N(checkpointSpread))
	}
	if now.Sub(s.ckpt.lost) < beginAfter || s.tracker.AnyRecent(now) {
		return
	}
	log.WithField("stream", s.opt.Stream).WithField("code", int(code.LogExpired)).Warn("no state is known to anyone, beginning anew")
	s.ckpt.lost = 0
	s.writeCheckpoint(&wire.AuthorityCheckpoint{Begin: true})
}

func (s *state) writeCheckpoint(cp *wire.AuthorityCheckpoint) {
	s.ckpt.writing, s.ckpt.waiting = true, false
	entry := &wire.Entry{Kind: &wire.Entry_AuthorityCheckpoint{AuthorityCheckpoint: cp}}
	s.c.wg.Go(func() {
		_, err := s.opt.Log.Append(s.ctx, s.opt.Stream, entry)
		_ = s.c.postWait(s.ctx, checkpointed{err})
	})
}

// checkpointed ends the writing of a checkpoint.
type checkpointed struct{ err error }

func (e checkpointed) apply(s *state) {
	s.ckpt.writing = false
	if e.err != nil {
		log.WithError(e.err).WithField("code", int(code.Of(e.err).Code)).Warn("checkpoint not written")
	}
}
