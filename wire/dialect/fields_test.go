package dialect

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

func headOf(fields ...string) *fasthttp.RequestHeader {
	head := &fasthttp.RequestHeader{}
	for _, field := range fields {
		name, value, _ := strings.Cut(field, ": ")
		head.Add(name, value)
	}
	return head
}

// TestHintsThatCannotBeReadAreNone: only the attempt's id makes a request unreadable, since an engine may
// still serve one whose other fields say nothing to us.
func TestHintsThatCannotBeReadAreNone(t *testing.T) {
	own := Own()
	for _, c := range []struct {
		field  string
		check  func(Ask) bool
		broken bool
	}{
		{"X-Other: 1", func(Ask) bool { return true }, false},
		{"X-Attempt-Id: second", nil, true},
		{"Cresspond-Model: m", func(a Ask) bool { return a.Model == "m" && a.Adapter == "" }, false},
		{"Cresspond-Model: m/a1", func(a Ask) bool { return a.Model == "m" && a.Adapter == "a1" }, false},
		{"Cresspond-Tokens: 1460,80", func(a Ask) bool { return a.TokensIn == 1460 && a.TokensOut == 80 }, false},
		{"Cresspond-Tokens: 1460", func(a Ask) bool { return a.TokensIn == 1460 && a.TokensOut == 0 }, false},
		{"Cresspond-Tokens: x,-3", func(a Ask) bool { return a.TokensIn == 0 && a.TokensOut == 0 }, false},
		{"Cresspond-Tokens: NaN,1e99", func(a Ask) bool { return a.TokensIn == 0 && a.TokensOut == 0 }, false},
		{"Cresspond-Parts: 5c:800, 91:410", func(a Ask) bool {
			return len(a.Parts) == 2 && a.Parts[1] == Part{"91", 410} && a.Parts[0].Tokens == 800
		}, false},
		{"Cresspond-Parts: 5c:800,91", func(a Ask) bool { return a.Parts == nil }, false},
		{"Cresspond-Parts: ,", func(a Ask) bool { return a.Parts == nil }, false},
		{"Cresspond-Parts: 5c:x", func(a Ask) bool { return len(a.Parts) == 1 && a.Parts[0].Tokens == 0 }, false},
		{"Cresspond-Parts: " + strings.Repeat("5c:1,", 2*mostParts) + "5c:1", func(a Ask) bool { return a.Parts == nil }, false},
		{"Cresspond-Deadline-Ms: 1500.5", func(a Ask) bool { return a.Deadline == 1500*time.Millisecond }, false},
		{"Cresspond-Deadline-Ms: soon", func(a Ask) bool { return a.Deadline == 0 }, false},
		{"Cresspond-Deadline-Ms: -1", func(a Ask) bool { return a.Deadline == 0 }, false},
		{"Last-Event-Id: 7", func(a Ask) bool { return a.Resumes && a.LastEvent == "7" }, false},
	} {
		ask, err := own.ReadAsk(headOf("X-Attempt-Id: a1", c.field))
		if (err != nil) != c.broken || err == nil && (ask.Attempt != "a1" || !c.check(ask)) {
			t.Errorf("%.60s: %+v %v", c.field, ask, err)
		}
	}
	for _, id := range []string{"", "a b", "a\x7f", strings.Repeat("a", mostAttempt+1)} {
		if _, err := own.ReadAsk(headOf("X-Attempt-Id: " + id)); err == nil {
			t.Errorf("%q is taken for an id", id)
		}
	}
}

func TestAnAttemptIsDressedOverWhatTheClientSaid(t *testing.T) {
	head := headOf("X-Attempt-Id: a1", "Cresspond-Deadline-Ms: 9000", "Cresspond-Engine: mine", "Cresspond-Urgency: 0", "Last-Event-Id: 2")
	Own().Dress(head, Dress{Engine: "e1", Left: 1500 * time.Millisecond, Urgency: 12, LastEvent: "7", Resumes: true})
	for name, want := range map[string]string{"X-Attempt-Id": "a1", "Cresspond-Deadline-Ms": "1500", "Cresspond-Engine": "e1", "Cresspond-Urgency": "9", "Last-Event-Id": "7"} {
		if all := head.PeekAll(name); len(all) != 1 || string(all[0]) != want {
			t.Errorf("%s: %q", name, all)
		}
	}
}

func TestWhatTheHeadOfAnAnswerSays(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		fields []string
		want   Head
	}{
		"plain":       {200, []string{"X-Attempt-Id: a", "Cresspond-Seal: s"}, Head{Attempt: "a", Sealed: true}},
		"two ids":     {200, []string{"X-Attempt-Id: a", "X-Attempt-Id: b"}, Head{}},
		"not run":     {503, []string{"X-Attempt-Id: a", "Cresspond-Not-Run: full"}, Head{Attempt: "a", NotRun: true}},
		"success":     {200, []string{"X-Attempt-Id: a", "Cresspond-Not-Run: 1", "Cresspond-Seal: s"}, Head{Attempt: "a", Sealed: true}},
		"redirect":    {307, []string{"X-Attempt-Id: a", "Cresspond-Not-Run: 1"}, Head{Attempt: "a"}},
		"misdirected": {421, []string{"X-Attempt-Id: a"}, Head{Attempt: "a", NotRun: true, Misdirected: true}},
		"own 503":     {503, []string{"X-Attempt-Id: a"}, Head{Attempt: "a"}},
		"events":      {200, []string{"Content-Type: text/event-stream; charset=utf-8"}, Head{Events: true}},
		"closes":      {200, []string{"Connection: close"}, Head{Closes: true}},
		"kept":        {200, []string{"Keep-Alive: timeout=4, max=100"}, Head{KeepFor: 4 * time.Second}},
	} {
		head := &fasthttp.ResponseHeader{}
		head.SetNoDefaultContentType(true)
		head.SetStatusCode(c.status)
		for _, field := range c.fields {
			key, value, _ := strings.Cut(field, ": ")
			head.Add(key, value)
		}
		if got := Own().ReadHead(head); got != c.want {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

func TestWhenToComeBackIsSaidInSeconds(t *testing.T) {
	for _, c := range []struct {
		fractions bool
		wait      time.Duration
		want      string
	}{{true, 1250 * time.Millisecond, "1.250"}, {false, 1250 * time.Millisecond, "2"}, {false, time.Second, "1"}, {true, 0, ""}} {
		head := &fasthttp.ResponseHeader{}
		Fields{ComeBack: "Retry-After", Fractions: c.fractions}.Refuse(head, c.wait)
		if got := string(head.Peek("Retry-After")); got != c.want {
			t.Errorf("%+v: %q", c, got)
		}
	}
}
