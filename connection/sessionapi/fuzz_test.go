package sessionapi

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/routingtable"
	"github.com/cresspond/cresspond/wire/callerapi"
)

// FuzzGenerate: a caller's request is refused with a status of its own fault, or is one that the table allows, under the
// attempt id that came.
func FuzzGenerate(f *testing.F) {
	configuration := &document.Configuration{Name: "s", Models: []document.Model{{Name: "m"}}, Routes: []document.Route{{Name: "r", Tenant: "h", Models: []string{"m"}}},
		Limits: document.Limits{MaxBodyBytes: 1 << 16, MaxDeadlineMs: 60000}}
	tables := routingtable.Build(1, nil, configuration, closure.Set{})
	server := New(context.Background(), clock.System{}, func() *routingtable.Table { return tables }, nil)
	valid, err := json.Marshal(callerapi.Generate{Route: "r", House: "h", Model: "m", Prompt: "p", DeadlineMs: 1000})
	if err != nil {
		f.Fatal(err)
	}
	for _, body := range []string{string(valid), string(valid) + "{}", `null`, `{"route":"r","house":"x","model":"m","prompt":"p","deadlineMs":1}`, `{"deadlineMs":-1}`, `{"unknown":1}`} {
		f.Add("a1", []byte(body))
		f.Add("", []byte(body))
	}
	f.Fuzz(func(t *testing.T, attempt string, body []byte) {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(fasthttp.MethodPost)
		ctx.Request.Header.Set(callerapi.HeaderAttempt, attempt)
		ctx.Request.SetBody(body)
		request, prompt, fault := server.readRequest(&ctx)
		if fault != nil {
			if fault.status < 400 || fault.status > 413 || fault.reason == "" {
				t.Fatalf("%+v", fault)
			}
			return
		}
		if request.Attempt != attempt || prompt == "" || request.Route != "r" || request.Tenant != "h" || request.Model != "m" || request.Deadline <= 0 {
			t.Fatalf("%+v", request)
		}
	})
}
