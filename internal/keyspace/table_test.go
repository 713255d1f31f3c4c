package keyspace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/fleet"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

func randomTable(random *rand.Rand, offset uint64) *Table {
	table := &Table{Offset: offset, Leader: "vm", LeaderAddress: "10.0.0.1:1", Nonce: random.Uint64()}
	for _, service := range []model.Service{"a", "b"} {
		for from := 0; from < Keys; {
			to := min(Keys-1, from+1000+random.IntN(9000))
			holder := func() Holder {
				n := random.IntN(9)
				return Holder{
					Incarnation: fleet.Incarnation{ID: model.TargetID(fmt.Sprint("t", n)), StartedAtMillis: int64(n)},
					Address:     fmt.Sprint("10.0.0.", n),
				}
			}
			r := Range{Service: service, From: from, To: to, Owner: holder(), Fence: random.Uint64N(1 << 40), Ready: random.IntN(2) == 0}
			if !r.Ready {
				r.Previous = []Holder{holder()}
			}
			table.Ranges = append(table.Ranges, r)
			from = to + 1
		}
	}
	return table
}

// Guards against fields that are lost or altered when a table is encoded and decoded.
func TestTableRoundTrip(t *testing.T) {
	table := randomTable(rand.New(rand.NewPCG(1, 1)), 7)
	raw, err := table.Encode()
	require.NoError(t, err)
	decoded, err := DecodeTable(raw, 7)
	require.NoError(t, err)
	assert.Equal(t, table, decoded)
}

// Guards against a resignation that loses for how long former leaders may make grants, and against one that states an absurd
// time. Tables without it have the form that earlier versions decode.
func TestResignationRoundTrip(t *testing.T) {
	table := randomTable(rand.New(rand.NewPCG(3, 3)), 7)
	table.Resigned = true
	plain, err := table.Encode()
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(plain, &wireTable{}))
	table.FormerGrants = 1234567 * time.Microsecond
	raw, err := table.Encode()
	require.NoError(t, err)
	decoded, err := DecodeTable(raw, 7)
	require.NoError(t, err)
	assert.Equal(t, 1235*time.Millisecond, decoded.FormerGrants, "rounded up")
	decoded.FormerGrants = table.FormerGrants
	assert.Equal(t, table, decoded)
	table.FormerGrants = 2 * maxFormerGrants
	raw, err = table.Encode()
	require.NoError(t, err)
	_, err = DecodeTable(raw, 7)
	assert.Error(t, err)
	_, err = DecodeTable(raw[:len(raw)-1], 7)
	assert.Error(t, err)
}

// Verifies that applying a delta yields exactly the table in the store, whatever changed.
func TestDeltaYieldsTable(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	base := randomTable(random, 1)
	for offset := uint64(2); offset < 60; offset++ {
		next := base.Clone()
		if offset%10 == 0 {
			next = randomTable(random, offset)
		}
		next.Offset, next.Nonce = offset, random.Uint64()
		next.Ranges[random.IntN(len(next.Ranges))].Fence++
		next.FormerGrants = time.Duration(offset%3) * time.Second
		raw, err := EncodeDelta(base, next)
		require.NoError(t, err)
		applied, err := ApplyDelta(base, raw, offset)
		require.NoError(t, err)
		require.Equal(t, next, applied)
		base = next
	}
}

// Guards against a VM that applies a delta to a table that is not its base, and then routes keys to wrong owners.
func TestDeltaOfAnotherTableIsRejected(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	a, b := randomTable(random, 1), randomTable(random, 2)
	raw, err := EncodeDelta(a, b)
	require.NoError(t, err)
	_, err = ApplyDelta(randomTable(random, 5), raw, 2)
	require.Error(t, err)
	_, err = ApplyDelta(nil, raw, 2)
	require.Error(t, err)
}

// Verifies that a truncated or malformed record is rejected as a whole.
func TestDamagedTableIsRejected(t *testing.T) {
	raw, err := randomTable(rand.New(rand.NewPCG(4, 4)), 1).Encode()
	require.NoError(t, err)
	for cut := 0; cut < len(raw); cut += 37 {
		_, err := DecodeTable(raw[:cut], 1)
		require.Error(t, err)
	}
	_, err = DecodeTable([]byte("no table"), 1)
	require.Error(t, err)
}

// Guards against a lookup that returns a range without the key or of another service.
func TestFindReturnsTheRangeOfAKey(t *testing.T) {
	table := randomTable(rand.New(rand.NewPCG(5, 5)), 1)
	for key := 0; key < Keys; key += 111 {
		r := table.Find("b", key)
		require.NotNil(t, r)
		assert.Equal(t, model.Service("b"), r.Service)
		assert.True(t, r.From <= key && key <= r.To)
	}
	assert.Nil(t, table.Find("c", 0))
}
