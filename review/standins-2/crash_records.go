//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	modelHost = "model.example"
	// earlierTurns is the number of turns that a conversation already has: parts that its requests share. Each conversation
	// sends some more requests, one after the other, with a pause for thought between them.
	earlierTurns, requestsOfConversation, thought = 28, 3, 300 * time.Millisecond
	// systemPrompts is the number of first parts that conversations share.
	systemPrompts = 240
	partTokens    = 30
	// decodeServers and prefillServers are the model servers; some of the former crash.
	decodeServers, prefillServers = 12, 2
	// downTime is how long a server is down, and crashTime for how long servers crash.
	downTime, crashTime = 4500 * time.Millisecond, 75 * time.Second
	// enoughEnds is the number of processes of the system that have ended by themselves from which no more servers crash.
	enoughEnds = 3
)

func (w *world) putModelConfig() {
	w.store.Put("keyed.op", "config", `{"version":7,"routes":[`+
		`{"name":"chat","host":"`+modelHost+`","pathPrefix":"/chat/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":250,"priority":1,"service":"llm","maxAttempts":1,"sticky":true,"resumable":false,"gapAimMs":250},`+
		`{"name":"tag","host":"`+modelHost+`","pathPrefix":"/tag/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":250,"priority":1,"service":"llm","maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":250}],`+
		`"services":[{"name":"llm","healthPath":"/health","maxConnections":620,"protocol":"h1","tls":false,"engine":{"slots":128,"kvTokens":1001769,"kvTokenBytes":18432,"linkMbps":370000.0,"moves":true,"backups":true,"stride":9,"most":12,"handleTtlS":5.0,"stageSwitchS":3.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
}

// conversation is the prompt of a conversation: a system prompt that many share, and turns. It grows with each request.
type conversation struct{ parts []string }

func newConversation(turns int) *conversation {
	c := &conversation{parts: []string{fmt.Sprintf("%x:%d", 0xa0000000+rand.IntN(systemPrompts), partTokens)}}
	for range turns {
		c.next()
	}
	return c
}

// next adds a turn, and returns the value of Prompt-Prefix and the tokens of the request that ends with it.
func (c *conversation) next() (prefix string, tokens int) {
	c.parts = append(c.parts, fmt.Sprintf("%08x:%d", rand.Uint32(), partTokens))
	return strings.Join(c.parts, ","), len(c.parts) * partTokens
}

// stream is what a client has seen of a request for a stream.
type stream struct {
	result
	kept   bool // on a connection that had carried a request before
	endsAt time.Time
}

// crashRecords: model servers crash, several within a second, while conversations of many turns are served. Rule LOST: no
// more than three requests that were passed on to sound servers may end with their channel closed and no answer.
func crashRecords(w *world, trouble bool) (bool, error) {
	runs := &engineRuns{}
	w.putModelConfig()
	engines := make([]*engine, decodeServers+prefillServers)
	for i := range engines {
		stage := "decode"
		if i >= decodeServers {
			stage = "prefill"
		}
		var err error
		if engines[i], err = w.startEngine(runs, fmt.Sprintf("i-e%02d", i), stage, ""); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := w.addNode(zone, true); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(context.Background(), 15*time.Second); err != nil {
		return false, err
	}
	ended := w.watchNodes()
	ctx, stop := context.WithCancel(context.Background())
	var mu sync.Mutex
	var got []stream
	var wg, traffic sync.WaitGroup
	var number atomic.Int64
	for _, n := range w.nodes {
		c := newClient()
		c.http.Transport.(*http.Transport).MaxIdleConnsPerHost = 200
		send := func(route string, talk *conversation, events, ms int) {
			id := fmt.Sprintf("s%06d", number.Add(1))
			prefix, tokens := talk.next()
			s := stream{}
			trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { s.kept = i.Reused }}
			s.result = c.send(httptrace.WithClientTrace(context.Background(), trace), n.front, &request{
				method: http.MethodPost, host: modelHost, path: fmt.Sprintf("/%s/x?%s=%d&%s=%d", route, queryEvents, events, queryMs, ms),
				id: id, deadline: 8 * time.Second, body: []byte("a prompt"),
				header: map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("%d,%d", tokens, events), "Prompt-Prefix": prefix},
			})
			s.endsAt = time.Now()
			mu.Lock()
			got = append(got, s)
			mu.Unlock()
			w.note("%s", s.String())
		}
		traffic.Go(func() {
			tick := time.NewTicker(10 * time.Millisecond)
			defer tick.Stop()
			for i := 0; ; i++ {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				if i%requestsOfConversation == 0 {
					wg.Go(func() {
						talk := newConversation(earlierTurns)
						for range requestsOfConversation {
							send("chat", talk, 16, 50)
							time.Sleep(thought)
						}
					})
				}
				wg.Go(func() { send("tag", newConversation(0), 3, 15) })
			}
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		w.crashInTurn(runs, engines[:decodeServers], func() bool { return len(ended()) >= enoughEnds })
	} else {
		time.Sleep(20 * time.Second)
	}
	time.Sleep(time.Second)
	stop()
	traffic.Wait()
	wg.Wait()
	return w.judgeLost(got, runs, ended()), nil
}

// crashInTurn crashes one server after the other. A quarter of them is down at a time, as each is back after downTime. It
// returns after crashTime, or once done reports true.
func (w *world) crashInTurn(runs *engineRuns, servers []*engine, done func() bool) {
	var wg sync.WaitGroup
	defer wg.Wait()
	pause := downTime * 4 / time.Duration(len(servers))
	for i, end := 0, time.Now().Add(crashTime); time.Now().Before(end) && !done(); i = (i + 1) % len(servers) {
		e := servers[i]
		e.crash()
		back := time.After(downTime)
		wg.Go(func() {
			<-back
			again, err := w.startEngine(runs, e.ID+"x", e.Stage, e.Address)
			if err != nil {
				w.note("%v", err)
				return
			}
			servers[i] = again
		})
		time.Sleep(pause)
	}
}

// nodeEnd is the end of a machine's process that nobody has asked for.
type nodeEnd struct {
	node *node
	at   time.Time
}

// watchNodes starts each machine's process again a second after it ends, as the platform does. The returned function
// returns the ends so far.
func (w *world) watchNodes() (ended func() []nodeEnd) {
	var mu sync.Mutex
	var out []nodeEnd
	for _, n := range w.nodes {
		go func() {
			for {
				<-n.done
				if w.isClosing() {
					return
				}
				mu.Lock()
				out = append(out, nodeEnd{n, time.Now()})
				mu.Unlock()
				w.note("the process of %s has ended by itself: %s", n.name, n.cmd.ProcessState)
				time.Sleep(time.Second)
				if w.isClosing() || n.runAgain() != nil {
					return
				}
			}
		}()
	}
	return func() []nodeEnd {
		mu.Lock()
		defer mu.Unlock()
		return append([]nodeEnd(nil), out...)
	}
}

// judgeLost reports whether more than three requests were lost without a byte of an answer with a machine's process, after
// they had been passed on to a server that ran on.
func (w *world) judgeLost(got []stream, runs *engineRuns, ends []nodeEnd) bool {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	byID := map[string][]*engineRun{}
	for _, r := range runs.runs {
		byID[r.id] = append(byID[r.id], r)
	}
	statuses := map[int]int{}
	lost, unanswered := 0, 0
	for i := range got {
		s := &got[i]
		statuses[s.status]++
		if s.status != 0 || !s.kept {
			continue
		}
		for _, end := range ends {
			if end.node.front != s.node || s.sentAt.After(end.at) || s.endsAt.Before(end.at.Add(-500*time.Millisecond)) {
				continue
			}
			list := byID[s.id]
			if len(list) == 0 {
				continue
			}
			last := list[len(list)-1]
			if crashed := last.engine.crashedAt(); crashed.IsZero() || crashed.After(end.at.Add(time.Second)) {
				lost++
				if s.header == nil {
					unanswered++
				}
				w.note("lost with the process of %s while %s ran on: %s", end.node.name, last.engine.ID, s.String())
				break
			}
		}
	}
	w.say("statuses %v; %d processes ended by themselves; %d requests on kept channels were lost with them that sound servers had, %d of them without a byte of an answer",
		statuses, len(ends), lost, unanswered)
	return unanswered > 3
}
