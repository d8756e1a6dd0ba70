package operatorapi

import "github.com/cresspond/cresspond/ident"

// PathTenants lists the tenants with their limits and what was sent under them. No page of it holds a key.
const PathTenants = "/v1/tenants"

const (
	// TenantsParameter names one tenant; without it all are listed.
	TenantsParameter = "tenant"
	// TenantsAtParameter names the daemon whose use is listed, by name or node id; without it the one that is asked.
	TenantsAtParameter = "at"
	// TenantsAtAll is the value that asks each routing daemon in contact.
	TenantsAtAll = "all"
)

// Tenant is a tenant of the configuration in force at the daemon that was asked.
type Tenant struct {
	Name string `json:"name"`
	// Rank goes before that of the path; nil leaves the path's.
	Rank *int `json:"rank,omitempty"`
	TenantLimit
	// Keys is how many keys it has.
	Keys int `json:"keyCount"`
}

// TenantLimit is a tenant's limit over the whole fleet: requests a second, and how many beyond that at once. A rate of 0 is
// no limit.
type TenantLimit struct {
	RatePerSecond float64 `json:"ratePerSecond"`
	Burst         float64 `json:"burst"`
}

// TenantUse is what one daemon knows of a tenant since it came into use there. It is forgotten after half a minute without
// a request.
type TenantUse struct {
	Tenant string `json:"tenant"`
	TenantLimit
	// Granted counts the requests that were allowed, OnCredit those of them that were without the leader, Denied those
	// answered with 429, Lapsed the tokens that lapsed unspent.
	Granted  uint64 `json:"granted"`
	OnCredit uint64 `json:"onCredit"`
	Denied   uint64 `json:"denied"`
	Lapsed   uint64 `json:"lapsed"`
	// Waiting is the number of requests that wait for a token, Tokens that of valid tokens.
	Waiting int `json:"waiting"`
	Tokens  int `json:"tokens"`
	// SentPerSecond is the smoothed rate of requests, StandingRate the one that may be sent on credit now.
	SentPerSecond float64 `json:"sentPerSecond"`
	StandingRate  float64 `json:"standingRate"`
	// Deficit is what was sent on credit and no leader has acknowledged.
	Deficit uint64 `json:"deficit"`
}

// TenantDaemon is the use of tenants at one daemon.
type TenantDaemon struct {
	Daemon ident.NodeID `json:"daemon"`
	Zone   ident.ZoneID `json:"zone"`
	// Routes says that it sends requests at all.
	Routes bool `json:"routes"`
	// OnCredit says that the leader did not answer it the last time.
	OnCredit bool        `json:"onCredit"`
	Tenants  []TenantUse `json:"tenants"`
}

// TenantAllowance is what a daemon may send without the leader.
type TenantAllowance struct {
	Daemon       ident.NodeID `json:"daemon"`
	StandingRate float64      `json:"standingRate"`
	// Reserved is what was taken out of the bucket since the daemon's last call.
	Reserved float64 `json:"reserved"`
	// Overdue says that it is out of contact.
	Overdue bool `json:"overdue"`
}

// TenantBucket is what the leader knows of a tenant since it came into use under this leader.
type TenantBucket struct {
	Tenant string `json:"tenant"`
	TenantLimit
	// Level is the number of tokens in the bucket, negative where it is overdrawn; Capacity is its highest.
	Level    float64 `json:"level"`
	Capacity float64 `json:"capacity"`
	// Granted counts tokens, Denied the requests for which a daemon asked and got none.
	Granted uint64 `json:"granted"`
	Denied  uint64 `json:"denied"`
	// Daemons are those with a standing rate.
	Daemons []TenantAllowance `json:"daemons"`
}

// TenantLeader is the leader's page.
type TenantLeader struct {
	Daemon  ident.NodeID   `json:"daemon"`
	Term    uint64         `json:"term"`
	Buckets []TenantBucket `json:"buckets"`
}

// Tenants is the page.
type Tenants struct {
	// ConfigurationVersion is that in force at the daemon that was asked; 0 is none.
	ConfigurationVersion ident.Version `json:"specEpoch"`
	Tenants              []Tenant      `json:"tenants"`
	// Daemons are those whose use was asked for, Unanswered those of them that did not answer.
	Daemons    []TenantDaemon `json:"daemons"`
	Unanswered []ident.NodeID `json:"unanswered"`
	// Leader is nil where no leader answered; then daemons decide on credit.
	Leader *TenantLeader `json:"leader,omitempty"`
}
