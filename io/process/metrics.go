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

// reportEvery is how old a metric may be when it is read. The text format is
// written here because the reporter of the metrics library depends on a whole
// client library for it.
const reportEvery = 250 * time.Millisecond

// Registry keeps the newest values of all metrics for GET /metrics.
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

// NewScope returns a metrics scope that reports to the registry; close it to
// report the last values.
func (r *Registry) NewScope() (tally.Scope, io.Closer) {
	return tally.NewRootScope(tally.ScopeOptions{
		Prefix: "oleandervalve", Separator: "_", Reporter: r, OmitCardinalityMetrics: true,
	}, reportEvery)
}

func (r *Registry) update(kind, name string, tags map[string]string, change func(*series)) {
	labels := labelText(tags)
	r.mu.Lock()
	defer r.mu.Unlock()
	k := name + labels
	s := r.series[k]
	if s == nil {
		s = &series{name: name, labels: labels, kind: kind}
		r.series[k] = s
	}
	change(s)
}

func labelText(tags map[string]string) string {
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

// ReportCounter adds to a counter.
func (r *Registry) ReportCounter(name string, tags map[string]string, value int64) {
	r.update("counter", name, tags, func(s *series) { s.value += float64(value) })
}

// ReportGauge sets a gauge.
func (r *Registry) ReportGauge(name string, tags map[string]string, value float64) {
	r.update("gauge", name, tags, func(s *series) { s.value = value })
}

// ReportTimer adds one measurement in seconds to a summary.
func (r *Registry) ReportTimer(name string, tags map[string]string, d time.Duration) {
	r.update("summary", name, tags, func(s *series) {
		s.value += d.Seconds()
		s.count++
	})
}

// ReportHistogramValueSamples adds samples to a bucket.
func (r *Registry) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	r.bucket(name, tags, upper, samples)
}

// ReportHistogramDurationSamples adds samples to a bucket in seconds.
func (r *Registry) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	bound := upper.Seconds()
	if upper == math.MaxInt64 {
		bound = math.MaxFloat64
	}
	r.bucket(name, tags, bound, samples)
}

// bucket counts the samples up to a bound; buckets are not cumulative, hence
// a counter and not the histogram type of the text format.
func (r *Registry) bucket(name string, tags map[string]string, upper float64, samples int64) {
	all := map[string]string{"upTo": fmt.Sprintf("%g", upper)}
	if upper == math.MaxFloat64 {
		all["upTo"] = "+Inf"
	}
	for k, v := range tags {
		all[k] = v
	}
	r.ReportCounter(name+"_bucket", all, samples)
}

// Capabilities says that labels and reporting are supported.
func (r *Registry) Capabilities() tally.Capabilities { return r }

// Reporting returns true.
func (r *Registry) Reporting() bool { return true }

// Tagging returns true.
func (r *Registry) Tagging() bool { return true }

// Flush does nothing because values are kept at once.
func (r *Registry) Flush() {}

// Write writes all metrics in the Prometheus text format.
func (r *Registry) Write(w io.Writer) error {
	r.mu.Lock()
	list := make([]series, 0, len(r.series))
	for _, s := range r.series {
		list = append(list, *s)
	}
	r.mu.Unlock()
	sort.Slice(list, func(i, j int) bool {
		if list[i].name != list[j].name {
			return list[i].name < list[j].name
		}
		return list[i].labels < list[j].labels
	})
	var b strings.Builder
	last := ""
	for _, s := range list {
		if s.name != last {
			_, _ = fmt.Fprintf(&b, "# TYPE %s %s\n", s.name, s.kind)
			last = s.name
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
