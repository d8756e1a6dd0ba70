package scale

import (
	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// Usage is what one process has used so far.
type Usage struct {
	// Seconds is processor time, in steps of ten milliseconds.
	Seconds float64
	// Resident is memory now, Peak the most there was; Own is what of Resident is not the program's file.
	Resident, Peak, Own uint64
	Files               int
}

// usageOf reads it; a process that is gone has used nothing.
func usageOf(pid int) Usage {
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return Usage{}
	}
	stat, err := proc.Stat()
	if err != nil {
		return Usage{}
	}
	out := Usage{Seconds: stat.CPUTime(), Resident: uint64(stat.ResidentMemory())}
	if status, err := proc.NewStatus(); err == nil {
		out.Peak, out.Own = status.VmHWM, status.RssAnon
	}
	if files, err := proc.FileDescriptorsLen(); err == nil {
		out.Files = files
	}
	return out
}

// glance reads processor time and memory only, which is cheap enough to do each second.
func glance(pid int) (seconds float64, resident uint64) {
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return 0, 0
	}
	stat, err := proc.Stat()
	if err != nil {
		return 0, 0
	}
	return stat.CPUTime(), uint64(stat.ResidentMemory())
}

// ThisMachine reads what the machine has.
func ThisMachine() (Machine, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return Machine{}, err
	}
	memory, err := fs.Meminfo()
	if err != nil {
		return Machine{}, err
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return Machine{}, err
	}
	out := Machine{Files: files.Cur}
	if memory.MemTotal != nil {
		out.MemoryBytes = *memory.MemTotal << 10
	}
	return out, nil
}
