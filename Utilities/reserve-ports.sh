# To be sourced by scripts that start processes on loopback.

# Ports are taken in blocks. A block belongs to whoever holds the lock of its
# file; the tests take theirs in the same way (Tests/Support/ReservedPorts).
first_reserved_port=10240
last_reserved_port=32000
ports_of_block=64
locked_blocks=()

# Locks a block that no other process holds, until this shell and the programs
# that it starts have ended, and sets first_port.
reserve_block() {
  local folder=${TMPDIR:-/tmp}/almondspoke-ports lock first tries
  local blocks=$(((last_reserved_port - first_reserved_port) / ports_of_block))
  mkdir -p -m 1777 "$folder"
  for ((tries = 0; tries < 20 * blocks; ++tries)); do
    first=$((first_reserved_port + RANDOM % blocks * ports_of_block))
    exec {lock}>>"$folder/$first"
    if flock -n "$lock"; then
      locked_blocks+=("$lock")
      first_port=$first
      return
    fi
    exec {lock}>&-
  done
  echo "all blocks of ports from $first_reserved_port on are taken" >&2
  return 1
}

# Sets the array of the given name to as many free ports of the loopback address
# as asked for. To be called in the shell that starts the programs.
reserve_ports() {
  local -n reserved=$1
  local wanted=$2 first_port=0 next=$ports_of_block port
  reserved=()
  while [ ${#reserved[@]} -lt "$wanted" ]; do
    if [ "$next" -eq "$ports_of_block" ]; then
      reserve_block
      next=0
    fi
    port=$((first_port + next++))
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      reserved+=("$port")
    fi
  done
}
