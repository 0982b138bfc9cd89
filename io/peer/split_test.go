package peer

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/crash"
)

// Guards against inventories that are too large for a frame, with which an agent can't join, and
// against entries that are lost or reordered when one is split.
func TestSplitInventory(t *testing.T) {
	job := oleandervalve.JobID("5c0e7a21d94b36f8")
	for _, checkpoint := range []string{"", "00000bb87a21d94b", strings.Repeat("c", 1000)} {
		for _, runs := range []int{0, 1, 64, 500, 2000} {
			for _, ends := range []int{0, 1, 500} {
				for _, lost := range []int{0, 400} {
					t.Run(fmt.Sprintf("%d runs, %d ends, %d lost, checkpoints of %d bytes", runs, ends, lost, len(checkpoint)), func(t *testing.T) {
						is := is.New(t)
						whole := ExecutorInventory{Incomplete: true}
						for i := range runs {
							whole.Running = append(whole.Running, oleandervalve.RunningTask{Task: oleandervalve.TaskName{Job: job, Occurrence: math.MaxInt, Step: math.MaxInt, Index: i}, Run: math.MaxUint64, Checkpoint: checkpoint, Percent: 100, Load: math.MaxInt64})
						}
						for i := range ends {
							whole.Ended = append(whole.Ended, oleandervalve.EndedTask{Number: math.MaxUint64, Task: oleandervalve.TaskName{Job: job, Occurrence: math.MaxInt, Step: math.MaxInt, Index: i}, Run: math.MaxUint64, How: oleandervalve.EndStopped, Checkpoint: checkpoint})
						}
						if lost > 0 {
							r := crash.Report{Crashed: true}
							for i := range lost {
								r.Runs = append(r.Runs, crash.Run{Task: oleandervalve.TaskName{Job: job, Step: math.MaxInt32, Index: i}, Run: math.MaxUint32, Started: true, MinAge: 4 * time.Second, MaxAge: 4 * time.Second})
							}
							whole.Lost = []crash.Report{r}
						}
						messages := SplitInventory(whole)
						if runs <= 64 && ends <= 1 && len(checkpoint) < 100 {
							is.Equal(len(messages), 1) // a leader of an earlier release knows no parts
						}
						var parts []*InventoryPart
						for i, m := range messages {
							frame, err := EncodeFrame(m)
							is.NoErr(err)
							decoded, err := DecodeFrame(frame)
							is.NoErr(err)
							switch m := decoded[0].(type) {
							case *InventoryPart:
								parts = append(parts, m)
							case *ExecutorInventory:
								is.Equal(i, len(messages)-1)
								m.Append(parts...)
								is.Equal(len(m.Running), runs)
								is.Equal(len(m.Ended), ends)
								for n, r := range m.Running {
									is.Equal(r, whole.Running[n])
								}
								for n, e := range m.Ended {
									is.Equal(e, whole.Ended[n])
								}
								is.True(m.Incomplete)
								is.Equal(len(m.Lost), len(whole.Lost))
							}
						}
					})
				}
			}
		}
	}
}
