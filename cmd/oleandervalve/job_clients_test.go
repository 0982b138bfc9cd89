package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"oleandervalve/core/work"
)

const (
	// largeJobsMemoryMb is the memory of an entry that gets many jobs of the largest allowed size.
	largeJobsMemoryMb = 64
	// largeJobDeadlineMs is how long their clients wait.
	largeJobDeadlineMs = "15000"
)

// largestJobs are bodies of jobs that are as large as a job may be.
func largestJobs() map[string]string {
	payload := strings.Repeat("x", 4000)
	steps := make([]string, work.MaxSteps)
	for n := range steps {
		steps[n] = fmt.Sprintf(`{"count":%d,"cpu":100,"after":[%d]}`, work.MaxTasks/work.MaxSteps, max(0, n-1))
	}
	steps[0] = fmt.Sprintf(`{"count":%d,"cpu":100}`, work.MaxTasks/work.MaxSteps)
	return map[string]string{
		"tasks":       fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":100}]}`, payload, work.MaxTasks),
		"steps":       fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, payload, strings.Join(steps, ",")),
		"occurrences": fmt.Sprintf(`{"spec":%q,"repeatCount":%d,"intervalMs":1000,"startAtMs":1,"steps":[{"count":1,"cpu":100}]}`, payload, work.MaxTasks),
	}
}

// newSubmission returns the submission of a job to an entry.
func newSubmission(address string, number int, body string) (*http.Request, error) {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/q/%016x", address, number+1), strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = "x.example"
	r.Header.Set("X-Deadline-Ms", largeJobDeadlineMs)
	return r, nil
}

// Guards against a leader that runs out of memory because clients submit many jobs of the largest
// allowed size, and against one that refuses usual jobs because of them.
func TestLargestJobsBesideUsualOnes(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes whose memory is measured, which the race detector multiplies")
	}
	for name, body := range largestJobs() {
		t.Run(name, func(t *testing.T) {
			c := startHostedTarget(t, "hosted-entry", largeJobsMemoryMb, 4096)
			client := &http.Client{Timeout: crowdTimeout}
			var clients sync.WaitGroup
			for n := range crowdSize {
				clients.Go(func() {
					r, err := newSubmission(c.address, n, body)
					if err != nil {
						return
					}
					if response, err := client.Do(r); err == nil { // a failure is a refusal
						_ = response.Body.Close()
					}
				})
			}
			clients.Wait()
			descriptors, resident := c.usage(t)
			t.Logf("%d MB resident at most, %d descriptors", resident, descriptors)
			is.New(t).True(resident <= c.memoryMb)
			c.ordinary = func() (*http.Request, error) {
				return newSubmission(c.address, crowdSize, `{"spec":"x","steps":[{"count":1,"cpu":100}]}`)
			}
			c.awaitOrdinary(t, ordinaryTimeout)
		})
	}
}
