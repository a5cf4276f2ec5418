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

// answer is what one keyed call got.
type answer struct {
	begin, end int // places of its start and end among all starts and ends
	key        string
	code       string
	run        string
}

// request is one call as the scenario states it.
type request struct {
	method, path, body string
	key                string
	issued             time.Time // of the key, unless it was used before
	until              string    // wanted run, if any
	header             http.Header
}

// call sends one request through each named VM at the same time and prints a
// line for each answer: vm=… status=… code=… run=… body=…
//
//	call VM[,VM...] PATH [key=K] [keys=N] [until=RUN] [deadline=MS] [issued=now|-1h] [body=JSON] [header:NAME=VALUE]
//
// With keys=N, the call is made for N keys K-1…K-N, all at once. A call that
// gets no answer prints run=unknown code=none. With until=ran, each call is
// sent again until its answer says so.
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
			r.until = value
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
	return spread(r, keys), nil
}

// spread makes one request for each of n keys.
func spread(r request, n int) []request {
	if n == 0 {
		return []request{r}
	}
	var out []request
	for i := range n {
		one := r
		one.key = fmt.Sprintf("%s-%d", r.key, i+1)
		out = append(out, one)
	}
	return out
}

var answersMu sync.Mutex

// callUntil ends with the last answer when the wanted one does not come.
func (f *fleet) callUntil(v *vm, r request) string {
	line := f.callOne(v, r)
	if r.until == "" {
		return line
	}
	_ = poll("run="+r.until, func() (bool, error) {
		if strings.Contains(line, "run="+r.until+" ") {
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

// exchange sends the request and fills in what the answer says.
func exchange(addr string, r request, a *answer) (status int, body string) {
	req, err := http.NewRequest(r.method, "http://"+addr+r.path, strings.NewReader(r.body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header = r.header.Clone()
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	req.GetBody = nil // no silent second try by net/http
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

// order sends an order straight to an engine, as a process without authority
// would: order ENGINE TOKEN role ROLE.
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
