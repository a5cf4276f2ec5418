package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/logclient"
	"fescuestand/internal/wire"
)

// pacer spaces the checkpoints of this process.
type pacer struct {
	due     clock.Time // when this process writes unless another has
	waiting bool
	writing bool
	lost    clock.Time // since when no state is known, with jitter
}

// checkpointSpread is over how long the processes spread their turns, so that
// usually one of them writes.
const checkpointSpread = 10 * time.Second

// checkpoint writes the state of the config stream again when that is due. Two
// processes that write at once do no harm: the fold takes a checkpoint only
// when it knows nothing yet. A wall clock that is off makes checkpoints too
// frequent, or leaves them to the rule by retention; see CheckpointDue.
func (s *state) checkpoint(ctx context.Context) {
	r := s.r
	progress := r.opt.Log.Progress(r.opt.Stream)
	if !r.opt.WriteCheckpoints || s.ckpt.writing {
		return
	}
	if !s.fold.Established() {
		s.restore(ctx, progress)
		return
	}
	s.ckpt.lost = 0
	if !progress.CaughtUp || !logclient.CheckpointDue(s.fold.LastCheckpoint(), progress, time.Now(), r.opt.CheckpointInterval) {
		s.ckpt.waiting = false
		return
	}
	if !s.ckpt.waiting {
		s.ckpt.waiting = true
		s.ckpt.due = s.now().Add(rand.N(checkpointSpread))
	}
	if s.now() < s.ckpt.due {
		return
	}
	s.writeCheckpoint(ctx, s.fold.Checkpoint())
}

// restoreAfter is how long no process may have known the stream's state before
// it is restored from the sheet in force; one that knows it writes it again
// well before.
const restoreAfter = 30 * time.Second

// restore writes the sheet in force as the state of the stream.
//
// Failure: every process was replaced during an outage that outlasted the
// retention. They all have the sheet from each other, but the records that it
// follows from have expired, so that no publish could ever be judged again.
// The sheet in force is the newest that anyone alive has seen; it becomes the
// state before the oldest record still kept, and what follows is judged by all
// alike on top of it. Without a sheet in force the stream begins with none.
func (s *state) restore(ctx context.Context, p logclient.Progress) {
	if !p.Fresh() || p.First <= 1 {
		s.ckpt.lost = 0
		return
	}
	if s.ckpt.lost == 0 {
		s.ckpt.lost = s.now().Add(rand.N(checkpointSpread))
	}
	if s.now().Sub(s.ckpt.lost) < restoreAfter {
		return
	}
	s.ckpt.lost = 0
	log.WithField("stream", s.r.opt.Stream).WithField("version", s.best.Version).WithField("code", int(code.LogExpired)).
		Warn("no state is known to anyone, restoring the sheet in force")
	s.writeCheckpoint(ctx, &wire.ConfigCheckpoint{
		Version: s.best.Version, Body: s.best.Body, Upto: max(p.First-1, s.best.Version),
	})
}

func (s *state) writeCheckpoint(ctx context.Context, cp *wire.ConfigCheckpoint) {
	r := s.r
	s.ckpt.writing, s.ckpt.waiting = true, false
	entry := &wire.Entry{Kind: &wire.Entry_ConfigCheckpoint{ConfigCheckpoint: cp}}
	r.wg.Go(func() {
		_, err := r.opt.Log.Append(ctx, r.opt.Stream, entry)
		log.WithError(err).WithField("stream", r.opt.Stream).Info("checkpoint written")
		_ = r.postWait(ctx, written{})
	})
}

// written ends the writing of a checkpoint, well or not.
type written struct{}

func (written) apply(s *state) { s.ckpt.writing = false }
