package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/policy/suspect"
	"fescuestand/internal/wire"
)

// bubbleClock follows the fake time of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() clock.Time { return clock.Time(time.Now().UnixNano()) }

const (
	// longPause is longer than the search for another engine takes if it fails.
	longPause = 5 * time.Second
	// silenceBound is how long a stream that has begun may be without a token.
	silenceBound = 12 * time.Second
	allTokens    = "0 1 2 3 4 5 6 7 8 9 "
)

// pauseFirst returns a script whose first attempt pauses for d after two tokens. The others get the
// outcome of later.
func pauseFirst(d time.Duration, later func(n int64) (end, refuse error)) *script {
	return &script{open: func(n int64, _ *driver.GenerateRequest) (error, error) {
		if n == 1 {
			return pauseError(d), nil
		}
		return later(n)
	}}
}

func refuseAll(int64) (error, error) { return nil, driver.ErrRefused }

// busyEngine returns the name of the engine that runs an attempt.
func busyEngine(d *Dispatcher) string {
	for name, e := range d.fleet.Engines() {
		if e.InFlight() > 0 {
			return name
		}
	}
	return ""
}

// directAll sends a directive of one phase for each engine but the named one.
func directAll(d *Dispatcher, except string, seq uint64, p wire.Phase) {
	for name := range d.fleet.Engines() {
		if name != except {
			d.fleet.ApplyDirective(context.Background(), &wire.Directive{Engine: name, Fence: 1, Seq: seq, Phase: p})
		}
	}
}

// Guards against cutting a stream whose engine only pauses, because no other engine takes it: the
// paused attempt may be ended only once another one has sent a token.
func TestPausedStreamIsKeptUntilAnotherEngineHasIt(t *testing.T) {
	tests := []struct {
		name    string
		engines int
		later   func(n int64) (end, refuse error)
		during  func(d *Dispatcher) // called during the pause
	}{
		{"engines refuse", 3, refuseAll, nil},
		{"only one engine", 1, refuseAll, nil},
		{"engines cannot be reached", 3, func(int64) (error, error) { return nil, driver.ErrNotSent }, nil},
		{"engines fail and the retries are used up", 3, func(int64) (error, error) { return nil, driver.ErrConnectionLost }, nil},
		{"engines leave the request unanswered", 3, func(int64) (error, error) { return nil, errHang }, nil},
		{"engines send no token", 3, func(int64) (error, error) { return errHangAtOnce, nil }, nil},
		{"no engine accepts work", 3, refuseAll, func(d *Dispatcher) { directAll(d, "", 1, wire.Phase_PHASE_DRAIN) }},
		{"the request is quarantined", 3, refuseAll, func(d *Dispatcher) {
			for _, incarnation := range []string{"a", "b"} {
				d.suspects.Add(d.clk.Now(), suspect.Evidence{
					Crash: suspect.Crash{Endpoint: "e9", Incarnation: incarnation}, Fingerprint: testFingerprint, Strength: suspect.Fresh,
				})
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := startDispatcherAt(t, bubbleClock{}, pauseFirst(longPause, tt.later), tt.engines, withBudget())
				if tt.during != nil {
					time.AfterFunc(time.Second, func() { tt.during(d) })
				}
				out, err := generateTo(d, 10, time.Minute)
				assert.NilError(t, err)
				assert.Equal(t, out.text, allTokens)
				assert.Equal(t, len(out.attempts), 1)
				assert.Equal(t, d.Streams().Crashes, uint64(0))
			})
		})
	}
}

// testFingerprint is the fingerprint of the requests of generate.
var testFingerprint = fingerprintOf("m", "", []byte("x"))

// Guards against blaming a pause as a crash, which would quarantine the request.
func TestPauseIsNoCrashEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcherAt(t, bubbleClock{}, pauseFirst(longPause, func(int64) (error, error) { return nil, nil }), 3, withBudget())
		_, err := generate(d, 10, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, d.suspects.Judge(d.clk.Now(), testFingerprint), suspect.NotSuspected)
		assert.Equal(t, len(d.suspects.EvidenceForPeers(d.clk.Now())), 0)
	})
}

// Guards against blaming a crash on a request whose caller leaves while the engine's state is asked
// for after a broken connection.
func TestCallerThatLeavesIsNoCrashEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{step: 50 * time.Millisecond}
		s.open = func(int64, *driver.GenerateRequest) (error, error) {
			s.stateless.Store(true)
			return driver.ErrConnectionLost, nil
		}
		d := startDispatcherAt(t, bubbleClock{}, s, 1, withBudget())
		_, err := generate(d, 10, 200*time.Millisecond)
		assert.Equal(t, code.Of(err).Code, code.DeadlineMissed, "%v", err)
		assert.Equal(t, len(d.suspects.EvidenceForPeers(d.clk.Now())), 0)
	})
}

// Guards against waiting at an engine that is silent for good while another engine can take the
// stream, even if the first replacement is silent too.
func TestSilentEnginesAreLeftInTime(t *testing.T) {
	tests := []struct {
		name   string
		second func() (end, refuse error)
		within time.Duration
	}{
		{"the next engine takes it", func() (error, error) { return nil, nil }, stallTimeout + 100*time.Millisecond},
		{"the next engine leaves it unanswered", func() (error, error) { return nil, errHang }, 2*stallTimeout + 100*time.Millisecond},
		{"the next engine sends no token", func() (error, error) { return errHangAtOnce, nil }, 2*stallTimeout + 100*time.Millisecond},
		{"the next engine refuses", func() (error, error) { return nil, driver.ErrRefused }, stallTimeout + time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{open: func(n int64, _ *driver.GenerateRequest) (error, error) {
					switch n {
					case 1:
						return errHang, nil
					case 2:
						return tt.second()
					}
					return nil, nil
				}}
				d := startDispatcherAt(t, bubbleClock{}, s, 3, withBudget())
				began := time.Now()
				out, err := generateTo(d, 10, time.Minute)
				assert.NilError(t, err)
				assert.Equal(t, out.text, allTokens)
				assert.Assert(t, time.Since(began) <= tt.within, "after %s", time.Since(began))
				assert.Equal(t, busyEngine(d), "", "an attempt is still open")
			})
		})
	}
}

// Guards against trying a stalled engine again while others can take the stream, as it looks idle once
// its streams have left it.
func TestStalledEngineIsNotChosenForTheReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stalled := ""
		s := &script{step: time.Second, openAt: func(engine string, n int64) (error, error) {
			if n == 1 {
				stalled = engine
			}
			if engine == stalled {
				return errHang, nil
			}
			return nil, nil
		}}
		d := startDispatcherAt(t, bubbleClock{}, s, 2, withBudget())
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				began := time.Now()
				_, err := generate(d, 10, time.Minute)
				assert.Check(t, err)
				assert.Check(t, time.Since(began) <= 10*s.step+stallTimeout+100*time.Millisecond, "after %s", time.Since(began))
			})
			time.Sleep(stallTimeout)
		}
		wg.Wait()
	})
}

// Guards against waiting at a prefill engine that is silent for good before a stalled stream is
// resumed, while another engine can prefill.
func TestSilentPrefillEngineIsLeftInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := ""
		s := &script{
			prefillers: 2,
			open: func(n int64, _ *driver.GenerateRequest) (error, error) {
				if n == 1 {
					return errHang, nil
				}
				return nil, nil
			},
			prefill: func(engine string, n int64) error {
				if n == 2 {
					silent = engine
				}
				if engine == silent {
					return errHang
				}
				return nil
			},
		}
		d := startDispatcherAt(t, bubbleClock{}, s, 5, withBudget())
		time.Sleep(time.Second) // until the engines have reported their roles
		began := time.Now()
		text, err := generate(d, 10, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, text, allTokens)
		assert.Assert(t, time.Since(began) <= 2*stallTimeout+100*time.Millisecond, "after %s", time.Since(began))
	})
}

// Guards against a caller that waits for its deadline at an engine that is silent for good and that
// no other engine can replace.
func TestSilentStreamWithoutAnotherEngineEndsInTime(t *testing.T) {
	for name, later := range map[string]func(int64) (error, error){
		"refused":    refuseAll,
		"unanswered": func(int64) (error, error) { return nil, errHang },
		"silent":     func(int64) (error, error) { return errHangAtOnce, nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{open: func(n int64, _ *driver.GenerateRequest) (error, error) {
					if n == 1 {
						return errHang, nil
					}
					return later(n)
				}}
				d := startDispatcherAt(t, bubbleClock{}, s, 3, withBudget())
				began := time.Now()
				_, err := generate(d, 10, 5*time.Minute)
				assert.Equal(t, code.Of(err).Run, code.Ran, "%v", err)
				assert.Assert(t, time.Since(began) <= silenceBound, "after %s", time.Since(began))
				assert.Equal(t, busyEngine(d), "", "an attempt is still open")
			})
		})
	}
}

// Guards against joining the tokens of two attempts: the paused engine continues at any time before
// or after another engine has taken the stream. Each attempt may contribute one run of tokens.
func TestLateTokensOfAPausedAttemptAreDropped(t *testing.T) {
	for pause := stallTimeout - 100*time.Millisecond; pause < stallTimeout+500*time.Millisecond; pause += 10 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := pauseFirst(pause, func(int64) (error, error) { return nil, nil })
			s.step = 40 * time.Millisecond
			d := startDispatcherAt(t, bubbleClock{}, s, 3, withBudget())
			out, err := generateTo(d, 10, time.Minute)
			assert.NilError(t, err, "pause %s", pause)
			assert.Equal(t, out.text, allTokens)
			slices.Sort(out.attempts)
			assert.Equal(t, len(slices.Compact(out.attempts)), len(out.attempts), "pause %s: %v", pause, out.attempts)
			assert.Assert(t, len(out.attempts) <= 2)
		})
	}
}

// Guards against cutting a stream by a planned change: its attempt may be ended only if another
// engine accepts work, and a refusal there must not end the stream.
func TestMovedStreamIsKeptUntilAnotherEngineHasIt(t *testing.T) {
	exported, notExported := func() error { return nil }, func() error { return driver.ErrRefused }
	refuse := func(until int64) func(n int64) error {
		return func(n int64) error {
			if n <= until {
				return driver.ErrRefused
			}
			return nil
		}
	}
	const refusals = 20 // more than maxAttempts
	tests := []struct {
		name   string
		later  func(n int64) error
		export func() error
		full   bool // no other engine accepts work
	}{
		{"no engine accepts work", refuse(0), exported, true},
		{"no engine accepts work, no export", refuse(0), notExported, true},
		{"engines refuse at first", refuse(refusals), exported, false},
		{"engines refuse, no export", refuse(1 << 20), notExported, false},
		{"taken", refuse(0), exported, false},
		{"taken, no export", refuse(0), notExported, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{step: 200 * time.Millisecond, export: tt.export, open: func(n int64, _ *driver.GenerateRequest) (error, error) {
					if n == 1 {
						return nil, nil
					}
					return nil, tt.later(n)
				}}
				d := startDispatcherAt(t, bubbleClock{}, s, 3, withBudget())
				time.AfterFunc(500*time.Millisecond, func() {
					busy := busyEngine(d)
					if tt.full {
						directAll(d, busy, 1, wire.Phase_PHASE_DRAIN)
					}
					d.fleet.ApplyDirective(context.Background(), &wire.Directive{Engine: busy, Fence: 1, Seq: 1, Phase: wire.Phase_PHASE_MOVE})
				})
				out, err := generateTo(d, 10, time.Minute)
				assert.NilError(t, err)
				assert.Equal(t, out.text, allTokens)
				moved := len(out.attempts) == 2
				assert.Equal(t, moved, !tt.full && tt.later(refusals+1) == nil, "%v", out.attempts)
			})
		})
	}
}

// Guards against refusing a completion whose engine was to be changed before its first token, because
// other engines refuse it a few times.
func TestCompletionMovedBeforeItsFirstTokenIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{
			step:   200 * time.Millisecond,
			export: func() error { return nil },
			open: func(n int64, _ *driver.GenerateRequest) (error, error) {
				if n > 1 && n < maxAttempts {
					return nil, driver.ErrRefused
				}
				return nil, nil
			},
		}
		d := startDispatcherAt(t, bubbleClock{}, s, 3, withBudget())
		time.AfterFunc(100*time.Millisecond, func() {
			d.fleet.ApplyDirective(context.Background(), &wire.Directive{
				Engine: busyEngine(d), Fence: 1, Seq: 1, Phase: wire.Phase_PHASE_MOVE,
			})
		})
		text, err := generate(d, 10, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, text, allTokens)
	})
}

// Guards against recomputing an exported KV cache because the first engine that it was offered to
// refused the stream.
func TestExportedCacheIsKeptAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var offered []bool
		s := &script{
			step:   200 * time.Millisecond,
			export: func() error { return nil },
			open: func(n int64, r *driver.GenerateRequest) (error, error) {
				offered = append(offered, r.KV != nil)
				if n == 2 {
					return nil, driver.ErrRefused
				}
				return nil, nil
			},
		}
		d := startDispatcherAt(t, bubbleClock{}, s, 3, withBudget())
		time.AfterFunc(500*time.Millisecond, func() {
			d.fleet.ApplyDirective(context.Background(), &wire.Directive{
				Engine: busyEngine(d), Fence: 1, Seq: 1, Phase: wire.Phase_PHASE_MOVE,
			})
		})
		text, err := generate(d, 10, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, text, allTokens)
		assert.DeepEqual(t, offered, []bool{false, true, true})
	})
}

// Guards against prefilling a prompt again because the decode engine refused the completion.
func TestPrefilledCacheIsKeptAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var offered []bool
		s := &script{prefillers: 1, open: func(n int64, r *driver.GenerateRequest) (error, error) {
			offered = append(offered, r.KV != nil)
			if n == 1 {
				return nil, driver.ErrRefused
			}
			return nil, nil
		}}
		d := startDispatcherAt(t, bubbleClock{}, s, 3, withBudget())
		time.Sleep(time.Second) // until the engines have reported their roles
		text, err := generate(d, 10, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, text, allTokens)
		assert.DeepEqual(t, offered, []bool{true, true})
		assert.Equal(t, s.prefills.Load(), int64(1))
	})
}

// Guards against a paused attempt that outlives its request: a caller that leaves during the pause
// must free the engines.
func TestCallerThatLeavesDuringAPauseFreesTheEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := pauseFirst(time.Minute, func(int64) (error, error) { return errHangAtOnce, nil })
		d := startDispatcherAt(t, bubbleClock{}, s, 3, withBudget())
		_, err := generate(d, 10, 5*time.Second)
		assert.Equal(t, code.Of(err).Code, code.DeadlineMissed, "%v", err)
		assert.Assert(t, !errors.Is(err, driver.ErrFailed))
		assert.Equal(t, busyEngine(d), "", "an attempt is still open")
	})
}

// Guards against cut answers in combinations of pauses, moves and replacements that fail: as long as
// the first engine only pauses, its completion must be answered whole, whatever the other engines do.
// Each attempt may contribute one run of tokens, and none may stay open.
func TestPausesAndMovesCutNoStream(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			exportFails := rng.IntN(2) == 0
			s := &script{step: time.Duration(rng.IntN(300)) * time.Millisecond}
			s.export = func() error {
				if exportFails {
					return driver.ErrRefused
				}
				return nil
			}
			s.open = func(n int64, _ *driver.GenerateRequest) (error, error) {
				if n == 1 {
					return pauseError(rng.Int64N(int64(silenceTimeout))), nil
				}
				return randomOutcome(rng)
			}
			d := startDispatcherAt(t, bubbleClock{}, s, 1+rng.IntN(4), withBudget())
			if exportFails {
				time.AfterFunc(time.Duration(rng.Int64N(int64(2*time.Second))), func() {
					d.fleet.ApplyDirective(context.Background(), &wire.Directive{
						Engine: busyEngine(d), Fence: 1, Seq: 1, Phase: wire.Phase_PHASE_MOVE,
					})
				})
			}
			out, err := generateTo(d, 10, time.Minute)
			assert.NilError(t, err, "seed %d", seed)
			assert.Equal(t, out.text, allTokens, "seed %d", seed)
			sorted := slices.Sorted(slices.Values(out.attempts))
			assert.Equal(t, len(slices.Compact(sorted)), len(out.attempts), "seed %d: %v", seed, out.attempts)
			assert.Equal(t, busyEngine(d), "", "seed %d: an attempt is still open", seed)
		})
	}
}

// randomOutcome returns an outcome of an attempt that sends either nothing or all tokens.
func randomOutcome(rng *rand.Rand) (end, refuse error) {
	switch rng.IntN(8) {
	case 0:
		return nil, nil
	case 1:
		return errHangAtOnce, nil
	case 2:
		return nil, errHang
	case 3:
		return nil, driver.ErrConnectionLost
	case 4:
		return nil, driver.ErrNotSent
	}
	return nil, driver.ErrRefused
}

// Guards against an engine that counts as crashed, as it has cut a stream and then its answer to the status check, though
// its process lives on.
func TestCutAnswerToAStatusCheckIsNoCrash(t *testing.T) {
	for cut, crashes := range map[int64]uint64{0: 0, 1: 0, 2: 1} {
		t.Run(fmt.Sprint(cut, " cut"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{open: func(n int64, _ *driver.GenerateRequest) (error, error) {
					if n == 1 {
						return driver.ErrConnectionLost, nil
					}
					return nil, nil
				}}
				d := startDispatcherAt(t, bubbleClock{}, s, 3, withBudget())
				time.Sleep(time.Second) // until the engines' states are known
				s.cutStates.Store(cut)
				text, err := generate(d, 10, time.Minute)
				assert.NilError(t, err)
				assert.Equal(t, text, allTokens)
				assert.Equal(t, d.Streams().Crashes, crashes)
			})
		})
	}
}
