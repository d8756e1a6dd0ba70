package dialect

import "github.com/valyala/fasthttp"

// Own is the product's own dialect.
func Own() Dialect {
	return Fields{
		Attempt: "X-Attempt-Id", Model: "Cresspond-Model", Counts: "Cresspond-Tokens", Parts: "Cresspond-Parts",
		Deadline: "Cresspond-Deadline-Ms", LastEvent: "Last-Event-Id", Engine: "Cresspond-Engine", Urgency: "Cresspond-Urgency",
		Seal: "Cresspond-Seal", NotRun: "Cresspond-Not-Run", ComeBack: fasthttp.HeaderRetryAfter,
		Credential: fasthttp.HeaderAuthorization, CredentialScheme: "Bearer", Tenant: "Cresspond-Tenant",
	}
}
