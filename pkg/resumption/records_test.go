package resumption

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func originOf(software, request string, ordinal int) Origin {
	return Origin{Service: "s", Software: software, Attempt: Attempt{request, ordinal}}
}

// Guards against an origin that outlives an attempt without events, or that is lost with
// another attempt.
func TestOriginIsForgottenOnlyByItsOwnAttempt(t *testing.T) {
	var records Records
	first, second := originOf("v1", "r", 1), originOf("v2", "r", 2)
	records.Put(testStart, "r", first, time.Minute)
	records.Put(testStart, "r", second, time.Minute)
	records.Forget("r", first.Attempt)
	if got, ok := records.Find(testStart, "r"); !ok || got != second {
		t.Fatalf("got %+v %t after the late end of the first attempt", got, ok)
	}
	records.Forget("r", second.Attempt)
	if got, ok := records.Find(testStart, "r"); ok {
		t.Errorf("got %+v after the end of the attempt that recorded it", got)
	}
}

// Guards against a stream with events whose version changes or gets lost.
func TestConfirmedOriginStays(t *testing.T) {
	var records Records
	origin := originOf("v1", "r", 1)
	records.Put(testStart, "r", origin, time.Minute)
	records.Confirm("r", Attempt{"r", 2})
	if got, _ := records.Find(testStart, "r"); got.Confirmed {
		t.Error("confirmed by another attempt")
	}
	records.Confirm("r", origin.Attempt)
	records.Forget("r", origin.Attempt)
	records.Put(testStart, "r", originOf("v2", "later", 1), time.Hour)
	if got, ok := records.Find(testStart, "r"); !ok || got.Software != "v1" || !got.Confirmed {
		t.Errorf("got %+v %t", got, ok)
	}
	if _, ok := records.Find(testStart.Add(time.Minute), "r"); ok {
		t.Error("an origin of another version has extended the time")
	}
}

// Guards against records of versions that nobody knows.
func TestOriginWithoutVersionIsNotRecorded(t *testing.T) {
	var records Records
	records.Put(testStart, "r", originOf("", "r", 1), time.Minute)
	records.Put(testStart, "", originOf("v1", "r", 1), time.Minute)
	if records.Len() != 0 {
		t.Errorf("%d records", records.Len())
	}
}

// Guards against records that grow without bound.
func TestFullRecordsDropTheOriginThatExpiresFirst(t *testing.T) {
	var records Records
	for i := range MaxRecords {
		records.Put(testStart, fmt.Sprint(i), originOf("v1", "r", 1), time.Hour-time.Duration(i))
	}
	last := fmt.Sprint(MaxRecords - 1)
	if dropped := records.Put(testStart, "more", originOf("v1", "r", 1), time.Minute); !dropped {
		t.Error("no drop is reported")
	}
	if _, ok := records.Find(testStart, last); ok || records.Len() != MaxRecords {
		t.Errorf("the origin that expires first is kept, %d in all", records.Len())
	}
}

// Guards against origins that are lost too early, kept too long, or mixed up.
func TestRecordsMatchModel(t *testing.T) {
	type kept struct {
		Origin
		expires time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		var records Records
		model := make(map[string]kept)
		now := testStart
		streams := rapid.SampledFrom([]string{"a", "b", "c"})
		ordinals := rapid.IntRange(1, 2)
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 10).Draw(t, "seconds")) * time.Second)
				for stream, known := range model {
					if !now.Before(known.expires) {
						delete(model, stream)
					}
				}
			},
			"put": func(t *rapid.T) {
				stream := streams.Draw(t, "stream")
				origin := originOf(rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"), stream, ordinals.Draw(t, "ordinal"))
				origin.Confirmed = rapid.Bool().Draw(t, "confirmed")
				retention := time.Duration(rapid.IntRange(1, 20).Draw(t, "retention")) * time.Second
				records.Put(now, stream, origin, retention)
				known, ok := model[stream]
				switch {
				case !ok:
					model[stream] = kept{origin, now.Add(retention)}
				case known.Confirmed && known.Software != origin.Software:
				default:
					if !known.Confirmed {
						known.Origin = origin
					}
					if expires := now.Add(retention); expires.After(known.expires) {
						known.expires = expires
					}
					model[stream] = known
				}
			},
			"confirm": func(t *rapid.T) {
				stream, ordinal := streams.Draw(t, "stream"), ordinals.Draw(t, "ordinal")
				records.Confirm(stream, Attempt{stream, ordinal})
				if known, ok := model[stream]; ok && known.Attempt.Ordinal == ordinal {
					known.Confirmed = true
					model[stream] = known
				}
			},
			"forget": func(t *rapid.T) {
				stream, ordinal := streams.Draw(t, "stream"), ordinals.Draw(t, "ordinal")
				records.Forget(stream, Attempt{stream, ordinal})
				if known, ok := model[stream]; ok && known.Attempt.Ordinal == ordinal && !known.Confirmed {
					delete(model, stream)
				}
			},
			"": func(t *rapid.T) {
				for _, stream := range []string{"a", "b", "c"} {
					got, ok := records.Find(now, stream)
					want, wanted := model[stream]
					if ok != wanted || got != want.Origin {
						t.Fatalf("%s: got %+v %t, want %+v %t", stream, got, ok, want.Origin, wanted)
					}
				}
				if records.Len() != len(model) {
					t.Fatalf("%d records, want %d", records.Len(), len(model))
				}
			},
		})
	})
}

// Guards against records whose size callers choose, and against long IDs that are mixed up.
func TestLongIDsAreKeptShort(t *testing.T) {
	var records Records
	long := func(last string) string { return strings.Repeat("x", 1000) + last }
	for _, last := range []string{"a", "b"} {
		records.Put(testStart, long(last), originOf("v"+last, long(last), 1), time.Minute)
	}
	records.Confirm(long("a"), Attempt{long("a"), 1})
	records.Forget(long("b"), Attempt{long("b"), 1})
	if got, ok := records.Find(testStart, long("a")); !ok || got.Software != "va" || !got.Confirmed {
		t.Errorf("got %+v %t", got, ok)
	}
	if got, ok := records.Find(testStart, long("b")); ok {
		t.Errorf("got %+v of a forgotten stream", got)
	}
	for stream, known := range records.byStream {
		if len(stream)+len(known.stream)+len(known.Attempt.RequestID) > 3*maxIDBytes {
			t.Errorf("IDs of %d bytes kept", len(stream))
		}
	}
}
