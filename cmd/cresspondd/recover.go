package main

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/recovery"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/consensus/store"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

// queryTimeout bounds the queries to one daemon.
const queryTimeout = 10 * time.Second

// recoverGroup bootstraps the next generation of a lost group in this daemon's empty data folder, from the daemons at
// these peer addresses and the data folder of a survivor, if there is one.
func recoverGroup(settings daemonconfig.Config, addresses []string, survivor string) error {
	if !settings.Serves(daemonconfig.Control) {
		return eris.New("only a daemon that serves control can hold a group")
	}
	group, state := ident.GroupID(""), statemachine.New()
	if survivor != "" {
		old, err := store.Open(survivor, daemon.NewMember)
		if err != nil {
			return err
		}
		defer old.Close()
		if group, state, err = recovery.ReadSurvivor(old); err != nil {
			return err
		}
	}
	var reports []recovery.DaemonReport
	for _, address := range addresses {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		report, err := recovery.QueryDaemon(ctx, address)
		cancel()
		if err != nil {
			return err
		}
		reports = append(reports, report)
	}
	plan, err := recovery.NewPlan(group, state, reports, time.Now())
	if err != nil {
		return err
	}
	opened, err := store.Open(settings.DataDir, daemon.NewMember)
	if err != nil {
		return err
	}
	defer opened.Close()
	if existing, err := opened.Group(); err != nil || existing != "" {
		return eris.Errorf("the data folder %s belongs to group %s already; recover into an empty one", settings.DataDir, existing)
	}
	if err := recovery.WriteGroup(opened, plan, settings.Name, settings.AdvertisedPeerAddress()); err != nil {
		return err
	}
	fmt.Printf("group %s: configuration version %d, closures version %d\n", plan.Group, plan.State.Version(), plan.State.Closures.Version)
	for _, version := range plan.LostVersions {
		fmt.Printf("no one holds the bundle of configuration version %d any more\n", version)
	}
	fmt.Println("start this daemon now; the other control machines join with empty data folders")
	return nil
}
