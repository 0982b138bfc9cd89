package process

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportInterval is the interval at which the scope reports to the registry. It
// bounds the age of a metric that is read. The registry writes the Prometheus
// text format itself because the Prometheus reporter of the metrics library
// depends on a complete client library.
const reportInterval = 250 * time.Millisecond

// Registry stores the current values of all metrics for GET /metrics.
type Registry struct {
	mu     sync.Mutex
	series map[string]*series
}

// series is one metric with one set of labels.
type series struct {
	name, labels, kind string
	value              float64
	count              int64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{series: map[string]*series{}} }

// NewScope returns a metrics scope that reports to the registry. Closing it
// reports the values that are still pending.
func (r *Registry) NewScope() (tally.Scope, io.Closer) {
	return tally.NewRootScope(tally.ScopeOptions{
		Prefix: "oleandervalve", Separator: "_", Reporter: r, OmitCardinalityMetrics: true,
	}, reportInterval)
}

// update applies a change to the series with the given name and tags, and creates
// the series if it does not exist.
func (r *Registry) update(kind, name string, tags map[string]string, apply func(*series)) {
	labels := formatLabels(tags)
	r.mu.Lock()
	defer r.mu.Unlock()
	key := name + labels
	s := r.series[key]
	if s == nil {
		s = &series{name: name, labels: labels, kind: kind}
		r.series[key] = s
	}
	apply(s)
}

// formatLabels formats tags as sorted Prometheus labels.
func formatLabels(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	pairs := make([]string, 0, len(tags))
	for k, v := range tags {
		pairs = append(pairs, fmt.Sprintf("%s=%q", k, v))
	}
	sort.Strings(pairs)
	return "{" + strings.Join(pairs, ",") + "}"
}

// ReportCounter adds a value to a counter.
func (r *Registry) ReportCounter(name string, tags map[string]string, value int64) {
	r.update("counter", name, tags, func(s *series) { s.value += float64(value) })
}

// ReportGauge sets the value of a gauge.
func (r *Registry) ReportGauge(name string, tags map[string]string, value float64) {
	r.update("gauge", name, tags, func(s *series) { s.value = value })
}

// ReportTimer adds one duration, in seconds, to a summary.
func (r *Registry) ReportTimer(name string, tags map[string]string, d time.Duration) {
	r.update("summary", name, tags, func(s *series) {
		s.value += d.Seconds()
		s.count++
	})
}

// ReportHistogramValueSamples adds samples to a histogram bucket.
func (r *Registry) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	r.addToBucket(name, tags, upper, samples)
}

// ReportHistogramDurationSamples adds samples to a histogram bucket whose upper
// bound is in seconds.
func (r *Registry) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	bound := upper.Seconds()
	if upper == math.MaxInt64 {
		bound = math.MaxFloat64
	}
	r.addToBucket(name, tags, bound, samples)
}

// addToBucket adds samples to the bucket with the given upper bound. The buckets
// are not cumulative, so they are written as counters and not as the histogram
// type of the text format.
func (r *Registry) addToBucket(name string, tags map[string]string, upper float64, samples int64) {
	labels := map[string]string{"upTo": fmt.Sprintf("%g", upper)}
	if upper == math.MaxFloat64 {
		labels["upTo"] = "+Inf"
	}
	for k, v := range tags {
		labels[k] = v
	}
	r.ReportCounter(name+"_bucket", labels, samples)
}

// Capabilities returns the registry, which supports tags and reporting.
func (r *Registry) Capabilities() tally.Capabilities { return r }

// Reporting returns true.
func (r *Registry) Reporting() bool { return true }

// Tagging returns true.
func (r *Registry) Tagging() bool { return true }

// Flush does nothing because each report updates the registry immediately.
func (r *Registry) Flush() {}

// Write writes all metrics in the Prometheus text format.
func (r *Registry) Write(w io.Writer) error {
	r.mu.Lock()
	snapshot := make([]series, 0, len(r.series))
	for _, s := range r.series {
		snapshot = append(snapshot, *s)
	}
	r.mu.Unlock()
	sort.Slice(snapshot, func(i, j int) bool {
		if snapshot[i].name != snapshot[j].name {
			return snapshot[i].name < snapshot[j].name
		}
		return snapshot[i].labels < snapshot[j].labels
	})
	var b strings.Builder
	lastName := ""
	for _, s := range snapshot {
		if s.name != lastName {
			_, _ = fmt.Fprintf(&b, "# TYPE %s %s\n", s.name, s.kind)
			lastName = s.name
		}
		if s.kind == "summary" {
			_, _ = fmt.Fprintf(&b, "%s_sum%s %g\n%s_count%s %d\n", s.name, s.labels, s.value, s.name, s.labels, s.count)
			continue
		}
		_, _ = fmt.Fprintf(&b, "%s%s %v\n", s.name, s.labels, s.value)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
