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

// checkpointState schedules this process's checkpoints of the control stream.
type checkpointState struct {
	due          clock.Time
	scheduled    bool
	writing      bool
	unknownSince clock.Time // since when the authority state has been unknown, plus jitter
}

// resetAfter is how long no process may have renewed before the authority state is reset: several
// leases, and long enough for a process that has the state to write its checkpoint.
const resetAfter = 30 * time.Second

// checkpointJitter is the interval over which the processes spread their checkpoints.
const checkpointJitter = 10 * time.Second

// checkpoint writes the authority state to the control stream when that is due; see
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
	if !p.CaughtUp || !logclient.CheckpointDue(s.authority.LastCheckpoint(), p, time.Now(), s.opt.CheckpointInterval) {
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

// resetAuthority resets the authority state when no process can have it: the stream was read to its
// end, it contains no usable checkpoint, and no process has renewed for resetAfter. Without the reset
// no process could ever claim an engine again; see fold.Authority.
func (s *state) resetAuthority(p logclient.Progress) {
	now := s.now()
	if !p.Fresh() || s.ckpt.writing {
		s.ckpt.unknownSince = 0
		return
	}
	if s.ckpt.unknownSince == 0 {
		s.ckpt.unknownSince = now.Add(rand.N(checkpointJitter))
	}
	if now.Sub(s.ckpt.unknownSince) < resetAfter || s.tracker.AnyPeerSeenRecently(now) {
		return
	}
	log.WithField("stream", s.opt.Stream).WithField("code", int(code.LogExpired)).Warn("no process has the authority state, resetting it")
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

// checkpointWritten is the result of a checkpoint append.
type checkpointWritten struct{ err error }

func (e checkpointWritten) apply(s *state) {
	s.ckpt.writing = false
	if e.err != nil {
		log.WithError(e.err).WithField("code", int(code.Of(e.err).Code)).Warn("checkpoint not written")
	}
}
