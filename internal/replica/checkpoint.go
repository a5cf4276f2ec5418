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

// checkpointSchedule is the state of this process's checkpoint writes.
type checkpointSchedule struct {
	due          clock.Time // when this process writes, unless another process has written before
	scheduled    bool
	writing      bool
	unknownSince clock.Time // since when no stream state is available, with jitter
}

// checkpointJitter is the period over which the processes spread their writes, so that usually only
// one of them writes.
const checkpointJitter = 10 * time.Second

// maybeCheckpoint writes a checkpoint of the config stream if one is due. Concurrent writes of two
// processes are harmless, as a reader uses a checkpoint only while it has no state. A wrong wall
// clock makes checkpoints too frequent, or leaves them to the rule that depends on the retention;
// see CheckpointDue.
func (s *state) maybeCheckpoint(ctx context.Context) {
	r := s.r
	progress := r.opt.Log.Progress(r.opt.Stream)
	if !r.opt.WriteCheckpoints || s.ckpt.writing {
		return
	}
	if !s.fold.Established() {
		s.restore(ctx, progress)
		return
	}
	s.ckpt.unknownSince = 0
	if !progress.CaughtUp || !logclient.CheckpointDue(s.fold.LastCheckpoint(), progress, time.Now(), r.opt.CheckpointInterval) {
		s.ckpt.scheduled = false
		return
	}
	if !s.ckpt.scheduled {
		s.ckpt.scheduled = true
		s.ckpt.due = s.now().Add(rand.N(checkpointJitter))
	}
	if s.now() < s.ckpt.due {
		return
	}
	s.writeCheckpoint(ctx, s.fold.Checkpoint())
}

// restoreAfter is how long the stream's state must be unavailable before it is restored from the
// sheet in force. A process that has the state writes a checkpoint well before that.
const restoreAfter = 30 * time.Second

// restore writes the sheet in force as the state of the stream.
//
// Failure: all processes were replaced during an outage of the log that outlasted the retention.
// They got the sheet from each other, but the records that led to it have expired, so no publish
// could ever be accepted or rejected again. The sheet in force is the newest that any running
// process has received; it becomes the state before the oldest record that the log still has, and
// all readers apply the later records on top of it. Without a sheet in force the stream starts
// empty.
func (s *state) restore(ctx context.Context, p logclient.Progress) {
	if !p.Fresh() || p.First <= 1 {
		s.ckpt.unknownSince = 0
		return
	}
	if s.ckpt.unknownSince == 0 {
		s.ckpt.unknownSince = s.now().Add(rand.N(checkpointJitter))
	}
	if s.now().Sub(s.ckpt.unknownSince) < restoreAfter {
		return
	}
	s.ckpt.unknownSince = 0
	log.WithField("stream", s.r.opt.Stream).WithField("version", s.inForce.Version).WithField("code", int(code.LogExpired)).
		Warn("no process has the stream state, restoring the sheet in force")
	s.writeCheckpoint(ctx, &wire.ConfigCheckpoint{
		Version: s.inForce.Version, Body: s.inForce.Body, Upto: max(p.First-1, s.inForce.Version),
	})
}

func (s *state) writeCheckpoint(ctx context.Context, cp *wire.ConfigCheckpoint) {
	r := s.r
	s.ckpt.writing, s.ckpt.scheduled = true, false
	entry := &wire.Entry{Kind: &wire.Entry_ConfigCheckpoint{ConfigCheckpoint: cp}}
	r.wg.Go(func() {
		_, err := r.opt.Log.Append(ctx, r.opt.Stream, entry)
		log.WithError(err).WithField("stream", r.opt.Stream).Info("checkpoint written")
		_ = r.postWait(ctx, checkpointWritten{})
	})
}

// checkpointWritten ends the write of a checkpoint, successful or not.
type checkpointWritten struct{}

func (checkpointWritten) apply(s *state) { s.ckpt.writing = false }
