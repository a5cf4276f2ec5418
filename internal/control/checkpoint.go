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
}

// checkpointSpread is over how long the processes spread their turns.
const checkpointSpread = 10 * time.Second

// checkpoint writes the holdings again when that is due; see
// logclient.CheckpointDue.
func (s *state) checkpoint() {
	if s.ckpt.writing || !s.auth.Established() {
		return
	}
	p := s.opt.Log.Progress(s.opt.Stream)
	if !p.Read || !logclient.CheckpointDue(s.auth.LastCheckpoint(), p, time.Now(), s.opt.CheckpointEvery) {
		s.ckpt.waiting = false
		return
	}
	if !s.ckpt.waiting {
		s.ckpt.waiting, s.ckpt.due = true, s.now().Add(rand.N(checkpointSpread))
	}
	if s.now() < s.ckpt.due {
		return
	}
	s.ckpt.writing, s.ckpt.waiting = true, false
	entry := &wire.Entry{Kind: &wire.Entry_AuthorityCheckpoint{AuthorityCheckpoint: s.auth.Checkpoint()}}
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
