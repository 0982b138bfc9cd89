package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve/io/callerhttp"
)

const (
	// slotCrowd is the number of clients that stop short of the end of their calls' bodies, for
	// endpointSlots slots.
	slotCrowd     = 6
	endpointSlots = 2
	// streamedBodyBytes is the announced size of these bodies, which is too large to be read before the
	// call gets a slot.
	streamedBodyBytes = 100_000
	// heldCallTimeout is the timeout that they ask for, the longest that is allowed.
	heldCallTimeout = 10 * time.Minute
)

// startCallPath starts an entry, an agent and an endpoint of the service formaro, and returns the
// entry once a call is answered.
func startCallPath(t *testing.T) *servingProcess {
	t.Helper()
	a := freeAddresses(t, 7)
	entry := &servingProcess{listeners: map[string]string{"callers": a[0], "peers": a[1], "metrics": a[2]}}
	agent := &servingProcess{listeners: map[string]string{"announcements": a[3], "metrics": a[4]}}
	endpoint := &servingProcess{listeners: map[string]string{"service": a[5], "metrics": a[6]}}
	entry.writeSettings(t, "role: entry\nid: entry\nlocation: {region: r, dataCentre: d}\nauthentication: headers\n", "entry")
	agent.writeSettings(t, fmt.Sprintf("role: agent\nid: agent\nlocation: {region: r, dataCentre: d, rack: k}\nentries: ['http://%s']\n", a[1]), "agent")
	endpoint.writeSettings(t, fmt.Sprintf("role: endpoint\nid: x\nendpoint: {service: formaro, agent: 'http://%s', slots: %d, connections: 64, serviceTime: 1ms}\n", a[3], endpointSlots), "standin", "endpoint")
	for _, p := range []*servingProcess{entry, agent, endpoint} {
		p.start(t)
	}
	awaitCall(t, entry)
	return entry
}

// awaitCall sends ordinary calls until one is answered.
func awaitCall(t *testing.T, entry *servingProcess) {
	t.Helper()
	client := &http.Client{Timeout: ordinaryTimeout}
	var failure string
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.NewRequest(http.MethodPost, "http://"+entry.listeners["callers"]+"/call/formaro/x", strings.NewReader("{}"))
		is.New(t).NoErr(err)
		r.Header.Set("Oleandervalve-Team", "ordinary")
		response, err := client.Do(r)
		if err != nil {
			failure = err.Error()
			continue
		}
		_ = response.Body.Close()
		if failure = response.Status; response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("ordinary call is not answered: %s", failure)
}

// Guards against clients that hold the slots of endpoints by stopping short of the end of their
// calls' bodies: ordinary calls are not answered until the timeouts of those have passed.
func TestCallsBesideUnfinishedBodies(t *testing.T) {
	entry := startCallPath(t)
	for range slotCrowd {
		holdConnection(t, entry.listeners["callers"], fmt.Sprintf("POST /call/formaro/x HTTP/1.1\r\nHost: x\r\nOleandervalve-Team: crowd\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
			callerhttp.HeaderTimeout, heldCallTimeout.Milliseconds(), streamedBodyBytes)+strings.Repeat(" ", streamedBodyBytes-missingBytes))
	}
	time.Sleep(sentDelay)
	awaitCall(t, entry)
}
