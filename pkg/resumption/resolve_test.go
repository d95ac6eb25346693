package resumption

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var bothVersions = []string{"v1", "v2"}

func answerOf(software string, ordinal int, confirmed bool) *Answer {
	origin := originOf(software, "r", ordinal)
	origin.Confirmed = confirmed
	return &Answer{Origin: origin, Source: SourceAgent, Place: "host"}
}

// Guards against a guess where several versions serve, and against refusals where one does.
func TestResolve(t *testing.T) {
	tests := []struct {
		name    string
		answers []*Answer
		recent  []string
		want    string
		source  Source
	}{
		{name: "nobody knows, several versions", answers: []*Answer{nil, nil}, recent: bothVersions},
		{name: "nobody knows, versions unknown", answers: []*Answer{nil}},
		{name: "nobody knows, one version", answers: []*Answer{nil}, recent: []string{"v1"}, want: "v1", source: SourceOnlyVersion},
		{name: "one knows", answers: []*Answer{nil, answerOf("v1", 1, false)}, recent: bothVersions, want: "v1", source: SourceAgent},
		{name: "origin of a version that has gone", answers: []*Answer{answerOf("v0", 1, false)}, recent: []string{"v1"}, want: "v0", source: SourceAgent},
		{name: "the latest attempt counts", answers: []*Answer{answerOf("v2", 2, false), answerOf("v1", 1, false)}, recent: bothVersions, want: "v2", source: SourceAgent},
		{name: "a confirmed origin counts more", answers: []*Answer{answerOf("v2", 2, false), answerOf("v1", 1, true)}, recent: bothVersions, want: "v1", source: SourceAgent},
		{name: "origins that contradict each other", answers: []*Answer{answerOf("v2", 1, true), answerOf("v1", 1, true)}, recent: bothVersions},
		{name: "an origin without a version", answers: []*Answer{answerOf("", 1, true)}, recent: bothVersions},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var inquiry Inquiry
			inquiry.Ask(len(test.answers))
			for _, answer := range test.answers {
				inquiry.Answered(answer)
			}
			got := inquiry.Resolve(test.recent)
			if got.Software != test.want || got.Source != test.source || !inquiry.IsConclusive() {
				t.Errorf("got %+v", got)
			}
		})
	}
}

// Guards against waiting for silent places in vain, and against not waiting for one that
// may know a later attempt.
func TestOnlyConfirmedOriginIsConclusive(t *testing.T) {
	var inquiry Inquiry
	inquiry.Ask(3)
	if inquiry.Answered(answerOf("v1", 1, false)); inquiry.IsConclusive() {
		t.Error("conclusive though a later attempt may be known")
	}
	if inquiry.Answered(answerOf("v2", 2, true)); !inquiry.IsConclusive() {
		t.Error("a confirmed origin isn't conclusive")
	}
	if inquiry.Asked() != 3 || inquiry.Answers() != 2 || inquiry.Silent() != 1 {
		t.Errorf("asked %d, answers %d, silent %d", inquiry.Asked(), inquiry.Answers(), inquiry.Silent())
	}
}

// testPlace is a server with the agent beside it.
type testPlace struct {
	version string
	records Records
	// down is set if the agent has ended.
	down bool
}

// testSite plays one request with its attempts, and the loss of its entry and of agents.
type testSite struct {
	places []*testPlace
	// version is that of the first event; empty if there is none.
	version string
	ordinal int
}

// attempt sends the request to a place. A message to an agent is lost only if the agent or
// the entry ends. It returns false if the entry ends.
func (s *testSite) attempt(t *rapid.T) bool {
	var fitting []*testPlace
	for _, place := range s.places {
		if !place.down && (s.version == "" || place.version == s.version) {
			fitting = append(fitting, place)
		}
	}
	if len(fitting) == 0 {
		return false
	}
	place := rapid.SampledFrom(fitting).Draw(t, "place")
	s.ordinal++
	origin := originOf(place.version, "r", s.ordinal)
	origin.Confirmed = s.version != ""
	place.records.Put(testStart, "r", origin, time.Minute)
	if rapid.Bool().Draw(t, "event") && s.version == "" {
		s.version = place.version
	}
	if rapid.Float64Range(0, 1).Draw(t, "agent's luck") < 0.2 {
		place.down = true
	}
	if rapid.Float64Range(0, 1).Draw(t, "entry's luck") < 0.2 {
		return false
	}
	if place.down {
		return true
	}
	if s.version != "" {
		place.records.Confirm("r", origin.Attempt)
	} else {
		place.records.Forget("r", origin.Attempt)
	}
	return true
}

// Guards against a resumed stream that is joined from two versions, in whichever order
// places answer, end, or fail to answer.
func TestStreamIsNeverResolvedToAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site := &testSite{}
		for range rapid.IntRange(1, 5).Draw(t, "places") {
			site.places = append(site.places, &testPlace{version: rapid.SampledFrom(bothVersions).Draw(t, "version")})
		}
		for range rapid.IntRange(1, 4).Draw(t, "attempts") {
			if !site.attempt(t) {
				break
			}
		}
		if site.version == "" {
			return
		}
		var inquiry Inquiry
		inquiry.Ask(len(site.places))
		for _, place := range rapid.Permutation(site.places).Draw(t, "order") {
			if inquiry.IsConclusive() {
				break
			}
			if place.down || rapid.Float64Range(0, 1).Draw(t, "answer's luck") < 0.2 {
				inquiry.Failed()
				continue
			}
			origin, ok := place.records.Find(testStart, "r")
			if !ok {
				inquiry.Answered(nil)
				continue
			}
			inquiry.Answered(&Answer{Origin: origin, Source: SourceAgent})
		}
		if got := inquiry.Resolve(bothVersions); got.IsKnown() && got.Software != site.version {
			t.Fatalf("resolved %+v, the stream began at %s", got, site.version)
		}
	})
}
