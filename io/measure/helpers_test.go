package measure

import (
	"context"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
)

// TestMain runs the peers of the agent benchmark if the benchmark has started this
// binary as a child process. The agent then has a process of its own, whose CPU
// time and memory are measured.
func TestMain(m *testing.M) {
	if n, err := strconv.Atoi(os.Getenv(envEntries)); err == nil {
		runPeers(n)
		return
	}
	os.Exit(m.Run())
}

func silentLog() *logrus.Entry {
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(l)
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapAndStackBytes returns the heap and stack bytes in use after a garbage
// collection.
func heapAndStackBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// residentBytes returns the resident memory of this process, or 0 if
// /proc/self/statm can't be read.
func residentBytes() float64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	n, _ := strconv.Atoi(strings.Fields(string(b))[1])
	return float64(n * os.Getpagesize())
}

// operations are the calls to a table and the rows that they read or wrote.
type operations struct {
	ReadCalls, RowsRead, WriteCalls, RowsWritten int64
}

func (o operations) sub(x operations) operations {
	return operations{o.ReadCalls - x.ReadCalls, o.RowsRead - x.RowsRead, o.WriteCalls - x.WriteCalls, o.RowsWritten - x.RowsWritten}
}

// countingTable counts the calls and rows that pass through to a table.
type countingTable struct {
	oleandervalve.Table
	readCalls, rowsRead, writeCalls, rowsWritten atomic.Int64
}

func (t *countingTable) Get(ctx context.Context, keys ...oleandervalve.Key) ([]oleandervalve.Row, error) {
	t.readCalls.Add(1)
	t.rowsRead.Add(int64(len(keys)))
	return t.Table.Get(ctx, keys...)
}

func (t *countingTable) Scan(ctx context.Context, prefix, after oleandervalve.Key, limit int) (oleandervalve.Page, error) {
	p, err := t.Table.Scan(ctx, prefix, after, limit)
	t.readCalls.Add(1)
	t.rowsRead.Add(int64(len(p.Rows)))
	return p, err
}

func (t *countingTable) Commit(ctx context.Context, x oleandervalve.Transaction) (oleandervalve.Committed, error) {
	t.writeCalls.Add(1)
	t.rowsWritten.Add(int64(len(x.Puts) + len(x.Deletes)))
	return t.Table.Commit(ctx, x)
}

func (t *countingTable) operations() operations {
	return operations{t.readCalls.Load(), t.rowsRead.Load(), t.writeCalls.Load(), t.rowsWritten.Load()}
}
