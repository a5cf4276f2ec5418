package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/code"
)

// Handler serves the caller interface.
type Handler struct {
	backend Backend
	mux     *http.ServeMux
}

// NewHandler returns the handler over b.
func NewHandler(b Backend) *Handler {
	h := &Handler{backend: b, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET "+PathAddresses, h.addresses)
	h.mux.HandleFunc("POST "+PathGenerate, h.generate)
	h.mux.HandleFunc("POST "+PathServices+"{service}/{operation}", h.call)
	h.mux.HandleFunc("GET "+PathCommits+"{key}", h.commit)
	h.mux.HandleFunc("/", h.unknown)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The deadline also bounds what net/http reads of the body of a request
	// that was refused unread. A forwarded request has no deadline: its body is
	// here.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTime))
	if err := checkHeaders(r.Header); err != nil {
		// The rest of the request isn't worth reading.
		w.Header().Set("Connection", "close")
		h.Refuse(w, r, err)
		return
	}
	h.mux.ServeHTTP(w, r)
}

// Refuse writes a numbered refusal.
func (h *Handler) Refuse(w http.ResponseWriter, r *http.Request, err error) {
	e := code.Of(err)
	log.WithField("path", r.URL.Path).WithField("request", r.Header.Get(HeaderRequestID)).
		WithField("code", int(e.Code)).WithField("run", string(e.Run)).Debug("refused")
	var elsewhere []Address
	if e.Code == code.Leaving || e.Code == code.NotReady || e.Code == code.ForwardLoop {
		elsewhere = h.backend.Addresses("").Addresses
	}
	refuse(w, err, elsewhere)
}

func (h *Handler) unknown(w http.ResponseWriter, r *http.Request) {
	h.Refuse(w, r, code.New(code.UnknownPath, "%s %.100s", r.Method, r.URL.Path))
}

func (h *Handler) addresses(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	body, _ := json.Marshal(h.backend.Addresses(r.URL.Query().Get("zone"))) // strings and numbers always encode
	writeAll(w, body)
}

func (h *Handler) generate(w http.ResponseWriter, r *http.Request) {
	g, err := h.readGenerate(w, r)
	if err != nil {
		h.Refuse(w, r, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), g.Deadline)
	defer cancel()
	out := newEventStream(w)
	if err := h.backend.Generate(ctx, g, out); err != nil {
		h.failStream(w, r, out, err)
		return
	}
	_ = out.end()
}

// failStream tells why a completion isn't whole: as a plain refusal if nothing
// of the stream has left.
func (h *Handler) failStream(w http.ResponseWriter, r *http.Request, out *eventStream, err error) {
	if out.started {
		out.fail(err)
		return
	}
	h.Refuse(w, r, err)
}

func (h *Handler) readGenerate(w http.ResponseWriter, r *http.Request) (*Generate, error) {
	now := time.Now()
	if err := h.backend.Ready(); err != nil {
		return nil, err
	}
	caller, bad := decodeCaller(r.Header, now)
	if bad != nil {
		return nil, bad
	}
	limits := h.backend.Limits()
	body, bad := readBody(w, r, limits.MaxBodyBytes)
	if bad != nil {
		return nil, bad
	}
	g, bad := decodeGenerate(body, limits)
	if bad != nil {
		return nil, bad
	}
	g.Caller = caller
	return g, nil
}

func (h *Handler) call(w http.ResponseWriter, r *http.Request) {
	c, err := h.readCall(w, r)
	var reply Reply
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
		defer cancel()
		reply, err = h.backend.Call(ctx, c)
	} else {
		err = MarkResendUnknown(r, err)
	}
	if err != nil {
		h.Refuse(w, r, err)
		return
	}
	writeReply(w, reply)
}

// isResend tells whether the caller says that it has sent the key before. Any
// value but none, 0 or false says so.
func isResend(r *http.Request) bool {
	v := strings.ToLower(r.Header.Get(HeaderResend))
	return v != "" && v != "0" && v != "false"
}

// MarkResendUnknown takes not-run back from the refusal of a resend that was
// made without a look at the key: an earlier sending may have run.
func MarkResendUnknown(r *http.Request, err error) error {
	e := code.Of(err)
	if e.Run == code.NotRun && isResend(r) {
		e.Run = code.Unknown
	}
	return e
}

func (h *Handler) readCall(w http.ResponseWriter, r *http.Request) (*Call, error) {
	now := time.Now()
	if err := h.backend.Ready(); err != nil {
		return nil, err
	}
	c := &Call{Service: r.PathValue("service"), Operation: r.PathValue("operation"), Resend: isResend(r)}
	keyed, err := h.backend.NeedsKey(c.Service, c.Operation)
	if err != nil {
		return nil, err
	}
	var bad *code.Error
	if c.Caller, bad = decodeCaller(r.Header, now); bad != nil {
		return nil, bad
	}
	if keyed {
		if bad := decodeKey(r.Header, c); bad != nil {
			return nil, bad
		}
	}
	if c.Body, bad = readBody(w, r, h.backend.Limits().MaxBodyBytes); bad != nil {
		return nil, bad
	}
	return c, nil
}

func (h *Handler) commit(w http.ResponseWriter, r *http.Request) {
	reply, err := h.backend.CommitStatus(r.PathValue("key"))
	if err != nil {
		h.Refuse(w, r, err)
		return
	}
	writeReply(w, reply)
}

func writeReply(w http.ResponseWriter, reply Reply) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCode, strconv.Itoa(int(reply.Code)))
	h.Set(HeaderRun, string(code.Ran))
	writeAll(w, reply.Body)
}
