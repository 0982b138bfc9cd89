package main

import (
	"encoding/json"
	"net/http"
	"strings"
)

// bornOf asks an executor for the time of its start, without extending a lease or acknowledging an end.
func bornOf(client *http.Client, m *machine) int64 {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.app+"/hold", strings.NewReader(`{"fencingToken":0,"lastSeen":0}`))
	if err != nil {
		return 0
	}
	request.Header.Set("X-Target-Instance", "i-"+m.name)
	r, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	var answer struct {
		Born int64 `json:"born"`
	}
	if json.NewDecoder(r.Body).Decode(&answer) != nil {
		return 0
	}
	return answer.Born
}
