package httpd

import (
	"fmt"
	"net/http"

	"github.com/sardinerock/sardinerock/scrape"
)

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

// ready reports to the platform's load balancer whether this entry may get requests.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Publisher.Current() == nil {
		http.Error(w, "no configuration is in force here yet", http.StatusServiceUnavailable)
		return
	}
	if s.Ready != nil {
		if err := s.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	fmt.Fprintln(w, "ready")
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	scrape.Write(w, s.Metrics)
}
