package hotkey

import (
	"math"
	"math/rand/v2"
	"runtime"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	hottest           = 160
	requestsPerSecond = 9000 // requests/s of one node at the design size: 66 million requests/s over 7,600 nodes
)

// addZipfLoad adds one minute of Zipf-distributed requests over 100 million keys, numbered by rank starting at offset.
// It returns the exact decayed counts.
func addZipfLoad(c *Counter[uint64], from time.Duration, offset uint64, random *rand.Rand) map[uint64]float64 {
	zipf := rand.NewZipf(random, 1.1, 1, 100_000_000)
	exact := map[uint64]float64{}
	for i := range 60 * requestsPerSecond {
		at := from + time.Duration(i)*time.Second/requestsPerSecond
		key := zipf.Uint64() + offset
		exact[key] += math.Exp2((at - from).Seconds() / DefaultHalfLife.Seconds())
		c.Add(model.Instant(at), key)
	}
	return exact
}

func countMissing(exact map[uint64]float64, top []Entry[uint64]) int {
	keys := make([]uint64, 0, len(exact))
	for key := range exact {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return exact[keys[i]] > exact[keys[j]] })
	found := map[uint64]bool{}
	for _, entry := range top {
		found[entry.Key] = true
	}
	n := 0
	for _, key := range keys[:hottest] {
		if !found[key] {
			n++
		}
	}
	return n
}

// Guards against missing hot keys, also when all hot keys change at once. The expected result comes from exact counts
// of all keys.
func TestFindsHottestOfZipfLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	c := NewCounter[uint64](DefaultCapacity, DefaultHalfLife, 0)
	exact := addZipfLoad(c, 0, 0, random)
	missed := countMissing(exact, c.Top(model.Instant(time.Minute), hottest))
	t.Logf("missing of %d after the first minute: %d", hottest, missed)
	require.Zero(t, missed)

	exact = addZipfLoad(c, time.Minute, 1_000_000_000, random)
	missed = countMissing(exact, c.Top(model.Instant(2*time.Minute), 2*hottest))
	t.Logf("missing of %d in the top %d a minute after all keys changed: %d", hottest, 2*hottest, missed)
	require.Zero(t, missed)
}

// Guards against rates that are wrong, do not decay, or overflow after a long time.
func TestRatesDecayAndDoNotOverflow(t *testing.T) {
	c := NewCounter[uint64](8, time.Second, 0)
	for i := range 2000 {
		c.Add(model.Instant(i)*model.Instant(time.Second/100), 7)
	}
	now := model.Instant(20 * time.Second)
	require.InDelta(t, 100, c.Top(now, 1)[0].Rate, 2)
	require.InDelta(t, 50, c.Top(now.Add(time.Second), 1)[0].Rate, 2)
	later := now.Add(24 * time.Hour)
	c.Add(later, 8)
	require.Equal(t, uint64(8), c.Top(later, 1)[0].Key)
	require.InDelta(t, math.Ln2, c.Top(later, 1)[0].Rate, 0.01)
}

// Guards against memory use above the bound in the package comment.
func TestMemoryBound(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := NewCounter[uint64](DefaultCapacity, DefaultHalfLife, 0)
	for i := range 100 * DefaultCapacity {
		c.Add(0, uint64(i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d counters hold %d B, %d B each", DefaultCapacity, held, held/DefaultCapacity)
	require.Less(t, held, int64(400<<10))
	require.Len(t, c.Top(0, DefaultCapacity+1), DefaultCapacity)
}

func BenchmarkAdd(b *testing.B) {
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 1, 100_000_000)
	c := NewCounter[uint64](DefaultCapacity, DefaultHalfLife, 0)
	for b.Loop() {
		c.Add(0, zipf.Uint64())
	}
}
