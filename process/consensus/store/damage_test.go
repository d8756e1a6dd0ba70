package store

import (
	"bufio"
	"database/sql"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/cresspond/cresspond/process/consensus/raft"
)

// writerFolderVariable names the folder of the writer process that this test program is started again as.
const writerFolderVariable = "CRESSPOND_TEST_WRITER"

func TestMain(m *testing.M) {
	if folder := os.Getenv(writerFolderVariable); folder != "" {
		writeForever(folder)
	}
	os.Exit(m.Run())
}

// testData is the data of entry i, so that an entry can be verified by its index.
func testData(i int) []byte { return []byte(strings.Repeat(fmt.Sprintf("entry %d;", i), 1+i%40)) }

func testSave(i int) raft.Save {
	save := raft.Save{HardState: raft.HardState{Term: raft.Term(i)}, Entries: []raft.Entry{{Term: raft.Term(i), Index: raft.Index(i), Data: testData(i)}}}
	if i%50 == 0 {
		save.Snapshot = &raft.Snapshot{Index: raft.Index(i - 10), Term: raft.Term(i - 10), Data: testData(i - 10)}
		save.CompactTo = raft.Index(i - 20)
	}
	return save
}

// writeForever writes one save after the other, and prints the number of each once it is synced.
func writeForever(folder string) {
	opened, err := Open(folder, newMember)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for i := 1; ; i++ {
		if err := opened.Write("g", testSave(i)); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(i)
	}
}

// verifyFolder checks that all acknowledged saves are in a folder, and that everything in it is as it was written.
func verifyFolder(folder string, minAcknowledged int) error {
	opened, err := Open(folder, newMember)
	if err != nil {
		return err
	}
	defer opened.Close()
	got, err := opened.Load()
	if err != nil {
		return err
	}
	lastTerm := int(got.HardState.Term)
	if lastTerm < minAcknowledged {
		return fmt.Errorf("LOST: %d was acknowledged, and %d is the last", minAcknowledged, lastTerm)
	}
	if got.Snapshot.Index > 0 && string(got.Snapshot.Data) != string(testData(int(got.Snapshot.Index))) {
		return fmt.Errorf("LOST: the snapshot at %d is other than it was written", got.Snapshot.Index)
	}
	next := max(1, lastTerm-lastTerm%50-20+1)
	if lastTerm < 50 {
		next = 1
	}
	for _, entry := range got.Entries {
		if int(entry.Index) != next || int(entry.Term) != next || string(entry.Data) != string(testData(next)) {
			return fmt.Errorf("LOST: entry %d of term %d is where %d was written", entry.Index, entry.Term, next)
		}
		next++
	}
	if next != lastTerm+1 {
		return fmt.Errorf("LOST: the log ends at %d, and term %d was synced with its entry", next-1, lastTerm)
	}
	return nil
}

func TestKilledWriterLosesNothingAcknowledged(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for round := range 25 {
		folder := t.TempDir()
		writer := exec.Command(os.Args[0])
		writer.Env = append(os.Environ(), writerFolderVariable+"="+folder)
		output, err := writer.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := writer.Start(); err != nil {
			t.Fatal(err)
		}
		scanner, acknowledged := bufio.NewScanner(output), 0
		stopAt := 1 + random.IntN(140)
		for acknowledged < stopAt && scanner.Scan() {
			if _, err := fmt.Sscan(scanner.Text(), &acknowledged); err != nil {
				t.Fatal(scanner.Text())
			}
		}
		// Busy work between the acknowledgement and the stop, so that the stop hits writes at any point.
		for range random.IntN(400_000) {
			acknowledged += 0
		}
		// While the writer is stopped the folder can be copied, with the journal of a write in progress.
		_ = writer.Process.Signal(syscall.SIGSTOP)
		copied := t.TempDir()
		if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
			t.Fatal(err)
		}
		_ = writer.Process.Kill()
		_, _ = io.Copy(io.Discard, output)
		_ = writer.Wait()
		for state, path := range map[string]string{"killed": folder, "copied": copied} {
			if err := verifyFolder(path, acknowledged); err != nil {
				t.Errorf("round %d, %s after %d: %v", round, state, acknowledged, err)
			}
		}
	}
}

func TestDamagedFolderIsReadCompletelyOrRejected(t *testing.T) {
	folder := t.TempDir()
	opened := openStore(t, folder)
	const written = 120
	for i := 1; i <= written; i++ {
		if err := opened.Write("g", testSave(i)); err != nil {
			t.Fatal(err)
		}
	}
	opened.Close()
	original, err := os.ReadFile(filepath.Join(folder, "member.sqlite"))
	if err != nil {
		t.Fatal(err)
	}
	readable, rejected := 0, 0
	seeds := uint64(400)
	if requested, err := strconv.ParseUint(os.Getenv("CRESSPOND_SEEDS"), 10, 32); err == nil {
		seeds = requested
	}
	for seed := range seeds {
		random := rand.New(rand.NewPCG(seed, 3))
		data := append([]byte{}, original...)
		damage := ""
		if seed%4 == 0 {
			data = data[:1+random.IntN(len(data)-1)]
			damage = fmt.Sprintf("truncated to %d bytes", len(data))
		} else {
			at := random.IntN(len(data))
			data[at] ^= 1 << random.IntN(8)
			damage = fmt.Sprintf("a bit of byte %d flipped", at)
		}
		damagedFolder := t.TempDir()
		if err := os.WriteFile(filepath.Join(damagedFolder, "member.sqlite"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		switch err := verifyFolder(damagedFolder, written); {
		case err == nil:
			readable++
		case strings.Contains(err.Error(), "LOST"):
			t.Errorf("seed %d, %s: %v", seed, damage, err)
		default:
			rejected++
		}
	}
	t.Logf("%d seeds: %d read, %d rejected", seeds, readable, rejected)
	if readable == 0 || rejected == 0 {
		t.Errorf("%d read, %d rejected: the damage is of one kind only", readable, rejected)
	}
}

// TestFolderIsSharedWithBuildWithoutChecksums: tables without checksums are read, and what an earlier build
// writes to a folder of this one is accepted without checksums, as it was then.
func TestFolderIsSharedWithBuildWithoutChecksums(t *testing.T) {
	for _, firstBuild := range []string{"earlier", "this"} {
		folder := t.TempDir()
		if firstBuild == "earlier" {
			db, err := sql.Open("sqlite3", "file:"+filepath.Join(folder, "member.sqlite"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := db.Exec(schema + "INSERT INTO meta VALUES ('form', x'0000000000000001'), ('member', x'0000000000000007')"); err != nil {
				t.Fatal(err)
			}
			db.Close()
		} else {
			openStore(t, folder).Close()
		}
		for i := 1; i <= 6; i++ {
			opened := openStore(t, folder)
			if i%2 == 0 {
				if err := opened.Write("g", testSave(i)); err != nil {
					t.Fatal(err)
				}
				opened.Close()
				continue
			}
			// As a build without checksums wrote it.
			for _, statement := range []string{
				"INSERT INTO meta (key, value) VALUES ('group', 'g') ON CONFLICT (key) DO UPDATE SET value = excluded.value",
				fmt.Sprintf("INSERT INTO meta (key, value) VALUES ('term', x'%016x') ON CONFLICT (key) DO UPDATE SET value = excluded.value", i),
				"INSERT INTO meta (key, value) VALUES ('vote', x'0000000000000000') ON CONFLICT (key) DO UPDATE SET value = excluded.value",
				fmt.Sprintf("INSERT INTO log (idx, term, kind, data) VALUES (%d, %d, 0, x'%x')", i, i, testData(i)),
			} {
				if _, err := opened.db.Exec(statement); err != nil {
					t.Fatal(err)
				}
			}
			opened.Close()
		}
		if err := verifyFolder(folder, 6); err != nil {
			t.Errorf("a folder created by the %s build: %v", firstBuild, err)
		}
	}
}
