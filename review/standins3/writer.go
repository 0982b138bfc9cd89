package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// otherWriter sends each agent one heartbeat that names a service that does not exist.
func otherWriter(d *deployment) (bool, error) {
	if err := d.startAll(); err != nil {
		return false, err
	}
	if d.trouble {
		for _, m := range d.machines {
			body := fmt.Sprintf(`{"service":"other","address":%q,"zone":"z-1","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":{"cpu":64000,"memMb":256000,"gpu":0},"labels":["a","r1"],"clockMs":1000,"sequence":500,"born":%d}`, m.app, bornOf(d.client, m))
			r, err := d.client.Post("http://"+m.control+"/Instances.Heartbeat/i-"+m.name, "application/json", strings.NewReader(body))
			if err != nil {
				return false, err
			}
			r.Body.Close()
			d.record("other writer: heartbeat of i-%s with service other -> %d", m.name, r.StatusCode)
		}
	}
	time.Sleep(3 * time.Second)
	const id = "7f3a91c25c0e7a21"
	if err := d.submit(id, `{"spec":"ms=500","steps":[{"count":2,"cpu":1000,"memMb":256,"estimateMs":500}]}`); err != nil {
		return false, err
	}
	// The end of the traffic, finish_s, and the 3 s of the rule.
	done := d.await(17*time.Second, func(events []event) bool {
		n := 0
		for _, e := range events {
			if e.What == "done" {
				n++
			}
		}
		return n == 2
	})
	time.Sleep(time.Second)
	_, state := d.call(1, http.MethodGet, id, "")
	d.record("both tasks have ended: %v; state: %s", done, strings.TrimSpace(state))
	return !done, nil
}
