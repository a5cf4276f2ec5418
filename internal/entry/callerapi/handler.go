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

// NewHandler returns a handler that passes decoded requests to b.
func NewHandler(b Backend) *Handler {
	h := &Handler{backend: b, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET "+PathAddresses, h.addresses)
	h.mux.HandleFunc("POST "+PathGenerate, h.generate)
	h.mux.HandleFunc("POST "+PathServices+"{service}/{operation}", h.call)
	h.mux.HandleFunc("GET "+PathCommits+"{key}", h.commitStatus)
	h.mux.HandleFunc("/", h.unknownPath)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The deadline also applies when net/http discards the unread body of a refused request. The
	// body of a forwarded request is already in memory and needs no deadline.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	if err := checkHeaders(r.Header); err != nil {
		// Closing the connection saves reading the rest of the request.
		w.Header().Set("Connection", "close")
		h.Refuse(w, r, err)
		return
	}
	h.mux.ServeHTTP(w, r)
}

// Refuse answers with a refusal that carries the result code of err. It adds the addresses of other
// VMs if the code means that this VM can't serve the request but another may.
func (h *Handler) Refuse(w http.ResponseWriter, r *http.Request, err error) {
	e := code.Of(err)
	log.WithField("path", r.URL.Path).WithField("request", r.Header.Get(HeaderRequestID)).
		WithField("code", int(e.Code)).WithField("run", string(e.Run)).Debug("refused")
	var alternatives []Address
	if e.Code == code.Leaving || e.Code == code.NotReady || e.Code == code.ForwardLoop {
		alternatives = h.backend.Addresses("").Addresses
	}
	writeRefusal(w, err, alternatives)
}

func (h *Handler) unknownPath(w http.ResponseWriter, r *http.Request) {
	h.Refuse(w, r, code.New(code.UnknownPath, "%s %.100s", r.Method, r.URL.Path))
}

func (h *Handler) addresses(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	body, _ := json.Marshal(h.backend.Addresses(r.URL.Query().Get("zone"))) // strings and numbers always encode
	writeBody(w, body)
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

// failStream reports why a completion is incomplete: as an error event, or as a plain refusal if
// nothing of the stream was sent yet.
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
	caller, refusal := decodeCaller(r.Header, now)
	if refusal != nil {
		return nil, refusal
	}
	limits := h.backend.Limits()
	body, refusal := readBody(w, r, limits.MaxBodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	g, refusal := decodeGenerate(body, limits)
	if refusal != nil {
		return nil, refusal
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

// isResend reports whether the caller marks the request as one whose key it may have sent before.
// Any value but an empty one, 0 and false does so.
func isResend(r *http.Request) bool {
	v := strings.ToLower(r.Header.Get(HeaderResend))
	return v != "" && v != "0" && v != "false"
}

// MarkResendUnknown changes the outcome of a refused resend from not-run to unknown. It is for
// refusals that were made without looking up the key: an earlier request with that key may have
// run.
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
	needsKey, err := h.backend.NeedsKey(c.Service, c.Operation)
	if err != nil {
		return nil, err
	}
	var refusal *code.Error
	if c.Caller, refusal = decodeCaller(r.Header, now); refusal != nil {
		return nil, refusal
	}
	if needsKey {
		if refusal := decodeKey(r.Header, c); refusal != nil {
			return nil, refusal
		}
	}
	if c.Body, refusal = readBody(w, r, h.backend.Limits().MaxBodyBytes); refusal != nil {
		return nil, refusal
	}
	return c, nil
}

func (h *Handler) commitStatus(w http.ResponseWriter, r *http.Request) {
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
	writeBody(w, reply.Body)
}
