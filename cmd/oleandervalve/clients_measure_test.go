package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve/platform"
)

// measureVariable is the environment variable that asks for the measurement, with the number of
// connections.
const measureVariable = "OLEANDERVALVE_MEASURE_CLIENTS"

// Guards against limits that hold for the small crowd of TestUncontrolledClients only. It is a
// measurement that takes gigabytes for the clients, and runs only where it is asked for.
func TestMeasureUncontrolledClients(t *testing.T) {
	connections, err := strconv.Atoi(os.Getenv(measureVariable))
	if err != nil {
		t.Skipf("set %s to the number of connections", measureVariable)
	}
	for _, memoryMb := range []int{256, 184} {
		for _, k := range crowdKinds {
			t.Run(fmt.Sprintf("%dMB/%s", memoryMb, k.name), func(t *testing.T) {
				c := startHostedTarget(t, "hosted-entry", memoryMb, 4096)
				var clients sync.WaitGroup
				for n := range connections {
					clients.Add(1)
					go func() {
						defer clients.Done()
						if conn, _ := c.send(n, k.chunked, k.part, k.pause); conn != nil { // an error is a refusal
							t.Cleanup(func() { _ = conn.Close() })
						}
					}()
				}
				clients.Wait()
				descriptors, resident := c.usage(t)
				c.awaitOrdinary(t, ordinaryTimeout)
				t.Logf("%d connections: %d MB resident at most, %d descriptors", connections, resident, descriptors)
				is.New(t).True(resident < memoryMb)
			})
		}
	}
}

// rawKinds are the ways to hold memory without a body. Their clients read nothing.
var rawKinds = []struct {
	name, listener string
	text           func() string
}{
	{"headers", "listen.front", func() string { return "GET / HTTP/1.1\r\nHost: x\r\n" + headerFields() }},
	{"headers", "listen.controlAddr", func() string { return "GET / HTTP/1.1\r\nHost: x\r\n" + headerFields() }},
	{"pipelined", "listen.front", func() string { return strings.Repeat("GET /q/ HTTP/1.1\r\nHost: x.example\r\n\r\n", 5000) }},
	{"pipelined", "listen.readyAddr", func() string { return strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 5000) }},
	{"webSockets", "listen.controlAddr", func() string {
		return "GET /v1/dispatch HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n" +
			"\x82\xff\x00\x00\x00\x00\x00\x00\xff\x00\x00\x00\x00\x00" + strings.Repeat("x", 60_000)
	}},
}

const (
	// drippedBytes are sent by a dripping client every dripInterval.
	drippedBytes = 300
	dripInterval = 200 * time.Millisecond
	// measuredJobs are submitted while the crowd stays, each at most measuredTries times.
	measuredJobs  = 12
	measuredTries = 4
)

// drip sends bodies that make little progress until stop is closed, and connects again whenever its
// connection is closed. It counts the connections.
func (c *clientTarget) drip(number int, connected *atomic.Int64, stop <-chan struct{}) {
	for {
		conn, err := net.DialTimeout("tcp", c.address, crowdTimeout)
		if err != nil {
			return
		}
		connected.Add(1)
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn) // ends when the process closes the connection
		}()
		_, err = fmt.Fprintf(conn, "POST "+c.path+" HTTP/1.1\r\nHost: x.example\r\nContent-Length: %d\r\n\r\n", number%200, c.bodyBytes)
		for err == nil {
			select {
			case <-stop:
				_ = conn.Close()
				return
			case <-closed:
				err = io.EOF
			case <-time.After(dripInterval):
				_, err = io.WriteString(conn, strings.Repeat(" ", drippedBytes))
			}
		}
		_ = conn.Close()
	}
}

// Guards against clients that shut out ordinary callers by connecting again and again. It is a
// measurement like the one above.
func TestMeasureDrippingClients(t *testing.T) {
	connections, err := strconv.Atoi(os.Getenv(measureVariable))
	if err != nil {
		t.Skipf("set %s to the number of connections", measureVariable)
	}
	for _, memoryMb := range []int{256, 184} {
		t.Run(fmt.Sprintf("%dMB", memoryMb), func(t *testing.T) {
			c := startHostedTarget(t, "hosted-entry", memoryMb, 4096)
			stop := make(chan struct{})
			var clients sync.WaitGroup
			var connected atomic.Int64
			for n := range connections {
				clients.Go(func() { c.drip(n, &connected, stop) })
			}
			time.Sleep(time.Second)
			answered := 0
			client := &http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
			for range measuredJobs {
				for range measuredTries {
					r, err := c.ordinary()
					is.New(t).NoErr(err)
					response, err := client.Do(r)
					if err != nil {
						continue
					}
					_ = response.Body.Close()
					if response.StatusCode < http.StatusInternalServerError {
						answered++
						break
					}
					time.Sleep(dripInterval)
				}
			}
			close(stop)
			clients.Wait()
			perConnection := processorTime(t, c.command.Process.Pid) / time.Duration(connected.Load())
			t.Logf("%d connections: %d of %d jobs answered, %d MB resident at most, %s of a processor for each of %d connections",
				connections, answered, measuredJobs, peakResidentMb(t, c.command.Process.Pid), perConnection, connected.Load())
		})
	}
}

// processorTime returns the processor time that a process has used.
func processorTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	const ticksPerSecond = 100 // of Linux on all architectures that the project supports
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	is.New(t).NoErr(err)
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.Atoi(fields[11])
	is.New(t).NoErr(err)
	system, err := strconv.Atoi(fields[12])
	is.New(t).NoErr(err)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

func headerFields() string {
	var b strings.Builder
	for n := range 6000 {
		_, _ = fmt.Fprintf(&b, "%x:b\r\n", n)
	}
	return b.String()
}

// Guards against memory that clients hold without a body: headers of many fields, requests sent
// ahead, and connections of peers that never join. It is a measurement like the one above.
func TestMeasureUncontrolledHeaders(t *testing.T) {
	connections, err := strconv.Atoi(os.Getenv(measureVariable))
	if err != nil {
		t.Skipf("set %s to the number of connections", measureVariable)
	}
	for _, memoryMb := range []int{256, 184} {
		for _, k := range rawKinds {
			t.Run(fmt.Sprintf("%dMB/%s/%s", memoryMb, k.name, k.listener), func(t *testing.T) {
				c := startHostedTarget(t, "hosted-entry", memoryMb, 4096)
				address, text := listenAddress(t, c, k.listener), k.text()
				var clients sync.WaitGroup
				for range connections {
					clients.Add(1)
					go func() {
						defer clients.Done()
						conn, err := net.DialTimeout("tcp", address, crowdTimeout)
						if err != nil {
							return
						}
						t.Cleanup(func() { _ = conn.Close() })
						_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
						_, _ = io.WriteString(conn, text) // an error is a refusal
					}()
				}
				clients.Wait()
				descriptors, resident := c.usage(t)
				c.awaitOrdinary(t, ordinaryTimeout)
				t.Logf("%d connections: %d MB resident at most, %d descriptors", connections, resident, descriptors)
				is.New(t).True(resident < memoryMb)
			})
		}
	}
}

// listenAddress returns an address of a hosted process from its settings.
func listenAddress(t *testing.T, c *clientTarget, key string) string {
	t.Helper()
	for _, v := range c.command.Env {
		file, ok := strings.CutPrefix(v, platform.SettingsVariable+"=")
		if !ok {
			continue
		}
		text, err := os.ReadFile(file)
		is.New(t).NoErr(err)
		_, rest, _ := strings.Cut(string(text), key+"=")
		address, _, _ := strings.Cut(rest, "\n")
		return address
	}
	t.Fatal("process without settings")
	return ""
}
