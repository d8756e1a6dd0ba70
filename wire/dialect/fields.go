package dialect

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Fields is a dialect whose fields are all header fields of their own. An empty name is a field that the
// deployment does not have.
type Fields struct {
	// Attempt, Model ("model" or "model/adapter"), Counts ("in,out"), Parts ("id:tokens,..."), Deadline and
	// LastEvent are read from requests.
	Attempt, Model, Counts, Parts, Deadline, LastEvent string
	// Engine and Urgency are written into attempts.
	Engine, Urgency string
	// Seal and NotRun are read from answers.
	Seal, NotRun string
	// ComeBack is written into refusals, in seconds; Fractions says that a part of a second may be named.
	ComeBack  string
	Fractions bool
	// Credential holds a client's key behind CredentialScheme and a space; Tenant is written into attempts.
	Credential, CredentialScheme, Tenant string
}

var _ Dialect = Fields{}

// errNoAttempt and errTwoAttempts are all that makes a request unreadable: a hint that can't be read is
// passed over, since an engine may still serve the request.
var (
	errNoAttempt   = errors.New("the attempt id is missing or holds other than 1 to 256 plain characters")
	errTwoAttempts = errors.New("the attempt id stands twice")
)

const mostAttempt = 256

// ReadAsk reads a request's head.
func (f Fields) ReadAsk(head *fasthttp.RequestHeader) (Ask, error) {
	attempt := head.Peek(f.Attempt)
	if !plain(attempt) {
		return Ask{}, errNoAttempt
	}
	if len(head.PeekAll(f.Attempt)) != 1 {
		return Ask{}, errTwoAttempts
	}
	ask := Ask{Attempt: string(attempt)}
	if f.Model != "" {
		ask.Model, ask.Adapter, _ = strings.Cut(string(head.Peek(f.Model)), "/")
	}
	if f.Counts != "" {
		in, out, _ := bytes.Cut(head.Peek(f.Counts), []byte{','})
		ask.TokensIn, ask.TokensOut = number(in), number(out)
	}
	if f.Parts != "" {
		ask.Parts = parts(head.Peek(f.Parts))
	}
	if f.Deadline != "" {
		ask.Deadline = time.Duration(number(head.Peek(f.Deadline))) * time.Millisecond
	}
	if f.LastEvent != "" {
		last := head.Peek(f.LastEvent)
		ask.LastEvent, ask.Resumes = string(last), len(last) > 0
	}
	ask.Key = f.key(head)
	return ask, nil
}

// key reads the client's key; empty where there is none, or more than one.
func (f Fields) key(head *fasthttp.RequestHeader) string {
	if f.Credential == "" {
		return ""
	}
	credentials := head.PeekAll(f.Credential)
	if len(credentials) != 1 {
		return ""
	}
	scheme, key, _ := bytes.Cut(bytes.TrimSpace(credentials[0]), []byte{' '})
	if !bytes.EqualFold(scheme, []byte(f.CredentialScheme)) {
		return ""
	}
	return string(bytes.TrimSpace(key))
}

// mostParts bounds what is read of a prompt's parts; whoever names more is served without the hint.
const mostParts = 256

func parts(list []byte) []Part {
	if len(list) == 0 || bytes.Count(list, []byte{','}) >= mostParts {
		return nil
	}
	out := make([]Part, 0, bytes.Count(list, []byte{','})+1)
	for one := range bytes.SplitSeq(list, []byte{','}) {
		id, tokens, found := bytes.Cut(bytes.TrimSpace(one), []byte{':'})
		if !found || len(id) == 0 || len(id) > mostAttempt {
			return nil
		}
		out = append(out, Part{ID: string(id), Tokens: number(tokens)})
	}
	return out
}

// mostNumber keeps sums of counts and times far from overflow.
const mostNumber = 1 << 31

// number reads a count; what is none counts as unknown.
func number(text []byte) int {
	value, err := strconv.ParseFloat(string(bytes.TrimSpace(text)), 64)
	if err != nil || !(value > 0) || value > mostNumber {
		return 0
	}
	return int(value)
}

func plain(name []byte) bool {
	if len(name) == 0 || len(name) > mostAttempt {
		return false
	}
	for _, letter := range name {
		if letter <= ' ' || letter > '~' {
			return false
		}
	}
	return true
}

// Dress writes an attempt's own fields.
func (f Fields) Dress(head *fasthttp.RequestHeader, dress Dress) {
	if f.Engine != "" && dress.Engine != "" {
		head.Set(f.Engine, dress.Engine)
	}
	if f.Deadline != "" {
		// An engine stops at this value, so a rest of a millisecond is still said as one.
		head.Set(f.Deadline, strconv.FormatInt(max(1, dress.Left.Milliseconds()), 10))
	}
	if f.Urgency != "" {
		head.Set(f.Urgency, strconv.Itoa(min(max(dress.Urgency, 0), 9)))
	}
	if f.LastEvent != "" && dress.Resumes {
		head.Set(f.LastEvent, dress.LastEvent)
	}
	if dress.HideKey {
		f.hideKey(head, dress.Tenant)
	}
}

// hideKey removes the key and the client's own word on its tenant, and writes the tenant's name.
func (f Fields) hideKey(head *fasthttp.RequestHeader, tenant string) {
	if f.Credential != "" {
		head.Del(f.Credential)
	}
	if f.Tenant == "" {
		return
	}
	head.Del(f.Tenant)
	if tenant != "" {
		head.Set(f.Tenant, tenant)
	}
}

// ReadHead reads the head of an engine's answer.
func (f Fields) ReadHead(head *fasthttp.ResponseHeader) Head {
	out := Head{
		Misdirected: head.StatusCode() == fasthttp.StatusMisdirectedRequest,
		Events:      bytes.HasPrefix(head.ContentType(), []byte("text/event-stream")),
		Closes:      head.ConnectionClose(),
	}
	if ids := head.PeekAll(f.Attempt); len(ids) == 1 {
		// An answer under two ids is nobody's.
		out.Attempt = string(ids[0])
	}
	// Only a refusal can say that the request did not run: a success shows that it did.
	out.NotRun = out.Misdirected || head.StatusCode() >= fasthttp.StatusBadRequest && f.NotRun != "" && len(head.Peek(f.NotRun)) > 0
	out.Sealed = f.Seal == "" || len(head.Peek(f.Seal)) > 0
	for word := range bytes.SplitSeq(head.Peek(fasthttp.HeaderKeepAlive), []byte{','}) {
		if name, value, found := bytes.Cut(bytes.TrimSpace(word), []byte{'='}); found && bytes.EqualFold(name, []byte("timeout")) {
			out.KeepFor = time.Duration(number(value)) * time.Second
		}
	}
	return out
}

// Refuse writes when to come back.
func (f Fields) Refuse(head *fasthttp.ResponseHeader, comeBack time.Duration) {
	if f.ComeBack == "" || comeBack <= 0 {
		return
	}
	if f.Fractions {
		head.Set(f.ComeBack, strconv.FormatFloat(comeBack.Seconds(), 'f', 3, 64))
		return
	}
	head.Set(f.ComeBack, strconv.FormatInt(int64((comeBack+time.Second-1)/time.Second), 10))
}
