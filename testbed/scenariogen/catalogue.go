package scenariogen

import "slices"

// Kind is a kind of fault, as site files name it.
type Kind string

// The kinds of fault that a scenario can hold.
const (
	AfterAckKill     Kind = "after_ack_kill"
	AfterAckWipe     Kind = "after_ack_wipe"
	AckLost          Kind = "ack_lost"
	AnswerLost       Kind = "answer_lost"
	BadConfig        Kind = "bad_config"
	BigConfig        Kind = "big_config"
	Burst            Kind = "burst"
	ClockStep        Kind = "clock_step"
	ConfigChange     Kind = "config_change"
	ConfigRace       Kind = "config_race"
	ConfigStorm      Kind = "config_storm"
	CoreCut          Kind = "core_cut"
	DiskFull         Kind = "disk_full"
	DiskSlow         Kind = "disk_slow"
	DiskStall        Kind = "disk_stall"
	Garble           Kind = "garble"
	GiveUp           Kind = "give_up"
	HerdKill         Kind = "herd_kill"
	HangUp           Kind = "hup"
	IdleRace         Kind = "idle_race"
	Lossy            Kind = "lossy"
	ModelShift       Kind = "model_shift"
	NodeCut          Kind = "node_cut"
	NodeFreeze       Kind = "node_freeze"
	NodeKill         Kind = "node_kill"
	NodeSlow         Kind = "node_slow"
	Release          Kind = "release"
	ReplaceCore      Kind = "replace_core"
	ReplaceWithReuse Kind = "replace_with_reuse"
	ResetConnections Kind = "reset_conns"
	RetryAbuse       Kind = "retry_abuse"
	RollTerm         Kind = "roll_term"
	ScaleIn          Kind = "scale_in"
	ScaleOut         Kind = "scale_out"
	SeedTurnover     Kind = "seed_turnover"
	ServerCrash      Kind = "srv_crash"
	ServerCut        Kind = "srv_cut"
	ServerFlap       Kind = "srv_flap"
	ServerGrey       Kind = "srv_grey"
	ServerLying      Kind = "srv_lying_health"
	ServerSlow       Kind = "srv_slow"
)

// The kinds of closing faults.
const (
	PowerOffAll  Kind = "power_off_all"
	WipeAfterAck Kind = "wipe_after_ack"
	KillAll      Kind = "kill_all"
)

// Contracts that open kinds of fault.
const (
	healthContract = "health"
	poolContract   = "pool"
)

// kindSpecification is what the generator knows of a kind.
type kindSpecification struct {
	kind Kind
	// planned says that it is placed among the planned work of a scenario.
	planned bool
	// contract is the part of the rules without which it cannot be run; none if empty.
	contract string
	// variants are the words for its variants; the empty one is the plain form.
	variants []string
}

// catalogue lists every kind that scenarios are made of.
var catalogue = []kindSpecification{
	{kind: AfterAckKill, variants: []string{"", "kill", "timed", "kill timed", "taken", "taken gone"}},
	{kind: AfterAckWipe, variants: []string{"", "oldest", "timed", "timed oldest", "taken"}},
	{kind: AckLost},
	{kind: AnswerLost, variants: []string{"", "reset"}},
	{kind: BadConfig, planned: true, variants: []string{"", "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "stale_match", "shared_key"}},
	{kind: BigConfig, planned: true},
	{kind: Burst},
	{kind: ClockStep, variants: []string{"back", "ahead"}},
	{kind: ConfigChange, planned: true, variants: []string{"route", "weights", "timeout", "tenant", "quota", "idle"}},
	{kind: ConfigRace, planned: true},
	{kind: ConfigStorm, planned: true},
	{kind: CoreCut, variants: []string{"", "all", "near", "oldest", "one_way", "seeds", "both", "lure"}},
	{kind: DiskFull},
	{kind: DiskSlow},
	{kind: DiskStall},
	{kind: Garble, variants: []string{"", "extra", "unframed", "early", "extra late"}},
	{kind: GiveUp},
	{kind: HerdKill, variants: []string{"", "power", "taken", "power taken", "taken all"}},
	{kind: HangUp, planned: true},
	{kind: IdleRace, contract: poolContract},
	{kind: Lossy},
	{kind: ModelShift, planned: true},
	{kind: NodeCut, variants: []string{"", "all", "servers"}},
	{kind: NodeFreeze},
	{kind: NodeKill, variants: []string{"", "power"}},
	{kind: NodeSlow},
	{kind: Release, planned: true},
	{kind: ReplaceCore, variants: []string{"", "oldest", "planned", "planned oldest"}},
	{kind: ReplaceWithReuse, variants: []string{"", "drain", "dark"}},
	{kind: ResetConnections},
	{kind: RetryAbuse},
	{kind: RollTerm, planned: true, variants: []string{"", "busy", "remove"}},
	{kind: ScaleIn, variants: []string{"", "spot"}},
	{kind: ScaleOut, planned: true},
	{kind: SeedTurnover},
	{kind: ServerCrash, variants: []string{"", "dark", "gone", "across"}},
	{kind: ServerCut, variants: []string{"", "fronts", "one_way", "reset"}},
	{kind: ServerFlap, contract: healthContract},
	{kind: ServerGrey, variants: []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors one_zone"}},
	{kind: ServerLying, contract: healthContract, variants: []string{"errors", "hang", "reset", "bad"}},
	{kind: ServerSlow},
}

// closingKinds are the closing faults, each with the variants that the end of a scenario may take.
var closingKinds = []kindSpecification{
	{kind: PowerOffAll, variants: []string{"", "timed", "taken"}},
	{kind: KillAll, variants: []string{"", "timed", "taken"}},
	{kind: WipeAfterAck, variants: []string{"", "aimed", "timed", "taken", "oldest", "timed oldest", "taken oldest"}},
}

// specified is what is known of a kind.
func specified(kind Kind) (kindSpecification, bool) {
	index := slices.IndexFunc(catalogue, func(s kindSpecification) bool { return s.kind == kind })
	if index < 0 {
		return kindSpecification{}, false
	}
	return catalogue[index], true
}

// open says whether a kind can be run on a site.
func (s Site) open(specification kindSpecification) bool {
	return specification.contract == "" || slices.Contains(s.Contracts, specification.contract)
}

// Kinds are the kinds that scenarios for this site are made of.
func (s Site) Kinds() []Kind {
	var kinds []Kind
	for _, specification := range catalogue {
		if s.open(specification) {
			kinds = append(kinds, specification.kind)
		}
	}
	return kinds
}
