package standin

import (
	"io"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
)

const maxObjectBytes = 4 << 20

// Objects is the stand-in of the object store.
type Objects struct {
	// Faults are the faults injected into calls.
	Faults *Faults

	mu      sync.Mutex
	objects map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects(seed uint64) *Objects {
	return &Objects{Faults: NewFaults(seed), objects: map[string][]byte{}}
}

// Handler serves the store over HTTP: PUT creates, GET reads, DELETE removes.
func (o *Objects) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/faults", o.Faults.serveFaults).Methods(http.MethodPut)
	m.HandleFunc("/v1/objects/{name:.+}", func(w http.ResponseWriter, r *http.Request) {
		name := mux.Vars(r)["name"]
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
		if err != nil {
			http.Error(w, "object exceeds 4 MiB", http.StatusRequestEntityTooLarge)
			return
		}
		o.Faults.serveWithFault(w, r, r.Method, func() (int, any) { return o.serve(r.Method, name, body) })
	}).Methods(http.MethodPut, http.MethodGet, http.MethodDelete)
	return m
}

func (o *Objects) serve(method, name string, body []byte) (int, any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old, found := o.objects[name]
	switch {
	case method == http.MethodPut && found:
		return http.StatusConflict, nil
	case method == http.MethodPut:
		o.objects[name] = body
		return http.StatusCreated, nil
	case method == http.MethodDelete:
		delete(o.objects, name)
		return http.StatusOK, nil
	case !found:
		return http.StatusNotFound, nil
	}
	return http.StatusOK, old
}

// Load returns an object's body, or nil if there is none.
func (o *Objects) Load(name string) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.objects[name]
}
