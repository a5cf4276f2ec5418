package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

// answer is the outcome of one call with an idempotency key.
type answer struct {
	begin, end int // positions of its start and end in the order of all starts and ends
	key        string
	code       string
	run        string
}

// request is one call as specified by the scenario.
type request struct {
	method, path, body string
	key                string
	issued             time.Time // issue time of the key, unless the key was used before
	wantRun            string    // value of run that ends the retries, if any
	header             http.Header
}

// call sends one request through each named VM concurrently and prints a line for each answer:
// vm=… status=… code=… run=… body=…
//
//	call VM[,VM...] PATH [key=K] [keys=N] [until=RUN] [deadline=MS] [issued=now|-1h] [body=JSON] [header:NAME=VALUE]
//
// With keys=N, the call is made for N keys K-1…K-N concurrently. A call without an answer prints
// run=unknown code=none. With until=RUN, each call is retried until its answer has that run value.
func call(ts *testscript.TestScript, f *fleet, args []string) error {
	vms := strings.Split(args[0], ",")
	reqs, err := parseCalls(args[1], args[2:])
	if err != nil {
		return err
	}
	lines := make([]string, len(reqs)*len(vms))
	var wg sync.WaitGroup
	for i, r := range reqs {
		for j, name := range vms {
			v, err := f.vm(name)
			if err != nil {
				return err
			}
			wg.Go(func() { lines[i*len(vms)+j] = f.callUntil(v, r) })
		}
	}
	wg.Wait()
	_, err = fmt.Fprintln(ts.Stdout(), strings.Join(lines, "\n"))
	ts.Logf("%s", strings.Join(lines, "\n"))
	return err
}

func parseCalls(path string, args []string) ([]request, error) {
	r := request{method: http.MethodPost, path: path, body: "{}", header: http.Header{}}
	r.header.Set("Deadline-Ms", "5000")
	r.header.Set("Caller", "scenario")
	r.header.Set("Workspace", "scenario")
	issued, keys := time.Now(), 0
	for _, a := range args {
		key, value, _ := strings.Cut(a, "=")
		var err error
		switch {
		case key == "key":
			r.key = value
		case key == "keys":
			keys, err = strconv.Atoi(value)
		case key == "deadline":
			r.header.Set("Deadline-Ms", value)
		case key == "issued" && value != "now":
			var d time.Duration
			d, err = time.ParseDuration(value)
			issued = issued.Add(d)
		case key == "body":
			r.body = value
		case key == "until":
			r.wantRun = value
		case key == "method":
			r.method = value
		case strings.HasPrefix(key, "header:"):
			r.header.Set(strings.TrimPrefix(key, "header:"), value)
		}
		if err != nil {
			return nil, err
		}
	}
	r.issued = issued
	return requestsForKeys(r, keys), nil
}

// requestsForKeys returns one request for each of n keys.
func requestsForKeys(r request, n int) []request {
	if n == 0 {
		return []request{r}
	}
	var out []request
	for i := range n {
		keyed := r
		keyed.key = fmt.Sprintf("%s-%d", r.key, i+1)
		out = append(out, keyed)
	}
	return out
}

var answersMu sync.Mutex

// callUntil retries the request until its answer has the wanted run value. It returns the line of the
// last answer, also after a timeout.
func (f *fleet) callUntil(v *vm, r request) string {
	line := f.callOne(v, r)
	if r.wantRun == "" {
		return line
	}
	_ = poll("run="+r.wantRun, func() (bool, error) {
		if strings.Contains(line, "run="+r.wantRun+" ") {
			return true, nil
		}
		line = f.callOne(v, r)
		return false, nil
	})
	return line
}

func (f *fleet) callOne(v *vm, r request) string {
	answersMu.Lock()
	f.calls++
	a := answer{begin: f.calls, key: r.key, code: "none", run: "unknown"}
	if _, used := f.issued[r.key]; !used {
		f.issued[r.key] = strconv.FormatInt(r.issued.UnixMilli(), 10)
	}
	issued := f.issued[r.key]
	answersMu.Unlock()
	if r.key != "" {
		r.header = r.header.Clone()
		r.header.Set("Key-Issued-Ms", issued)
	}
	status, body := exchange(v.caller, r, &a)
	if r.key != "" {
		answersMu.Lock()
		f.calls++
		a.end = f.calls
		f.answers = append(f.answers, a)
		answersMu.Unlock()
	}
	return fmt.Sprintf("vm=%s key=%s status=%d code=%s run=%s body=%s", v.name, r.key, status, a.code, a.run, body)
}

// exchange sends the request and sets the code and the run value of a from the answer.
func exchange(addr string, r request, a *answer) (status int, body string) {
	req, err := http.NewRequest(r.method, "http://"+addr+r.path, strings.NewReader(r.body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header = r.header.Clone()
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	req.GetBody = nil // keeps net/http from retrying by itself
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err.Error()
	}
	a.code, a.run = resp.Header.Get("Result-Code"), resp.Header.Get("Run")
	var refusal struct {
		Code int    `json:"code"`
		Run  string `json:"run"`
	}
	if a.run == "" && json.Unmarshal(text, &refusal) == nil && refusal.Run != "" {
		a.code, a.run = strconv.Itoa(refusal.Code), refusal.Run
	}
	return resp.StatusCode, string(bytes.TrimSpace(text))
}

// order sends an order directly to an engine, like a process without authority over it:
// order ENGINE TOKEN role ROLE.
func order(_ *testscript.TestScript, f *fleet, args []string) error {
	token, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return err
	}
	o := driver.Order{ID: "impostor-" + strconv.FormatInt(time.Now().UnixNano(), 10), Fence: token, Kind: driver.OrderKind(args[2]), Role: driver.Role(args[3])}
	if !slices.Contains(f.engines, args[0]) {
		return fmt.Errorf("no engine %q", args[0])
	}
	return f.post(args[0], httpapi.PathOrder, o)
}
