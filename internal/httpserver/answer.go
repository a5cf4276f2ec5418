package httpserver

import "net/http"

// serve runs the handler.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.markHandled(r)
	if s.isDraining() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}
