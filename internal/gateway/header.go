package gateway

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns a copy of h without hop-by-hop headers: the usual ones, and those that its
// Connection header lists.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, names := range h.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
