# Functions for the subcommands of Utilities/measure: starts and ends daemons
# and summarizes samples. To be sourced in the folder of the sources.

. Utilities/reserve-ports.sh

daemon=${ALMONDSPOKE_BUILD:-build}/Source/Daemon/almondspoked
tool=${ALMONDSPOKE_BUILD:-build}/Source/Tool/almondspoke
standin=${ALMONDSPOKE_BUILD:-build}/Source/StandIn/almondspoke-standin
folder=$(mktemp -d)
declare -A process_of=()
declare -A callers_of=()
declare -A operators_of=()
declare -A peers_of=()
declare -A centre_of=()
instances=()
# Instances that vote in the configuration group, and those with disks.
voters=()
disks=()

end_all() {
  local process
  for process in "${process_of[@]}"; do
    kill -KILL "$process" 2>/dev/null || true
  done
  for process in "${process_of[@]}"; do
    wait "$process" 2>/dev/null || true
  done
  rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

wait_until() {
  local what=$1 attempts=600
  shift
  until "$@" >/dev/null 2>&1; do
    attempts=$((attempts - 1))
    [ "$attempts" -gt 0 ] || { echo "measure: $what did not happen" >&2; exit 1; }
    sleep 0.1
  done
}

# Writes the settings of COUNT instances in CENTRES data centres, of which the
# first VOTERS vote on the configuration and the first DISKS, or else as many,
# have disks and vote in submission groups.
lay_out() {
  local count=$1 centres=$2 voter_count=$3 disk_count=${4:-$3} i name ports
  reserve_ports ports $((3 * count))
  for ((i = 0; i < count; ++i)); do
    name=instance-$i
    instances+=("$name")
    centre_of[$name]=centre-$((i % centres))
    callers_of[$name]=127.0.0.1:${ports[3 * i]}
    operators_of[$name]=127.0.0.1:${ports[3 * i + 1]}
    peers_of[$name]=127.0.0.1:${ports[3 * i + 2]}
    [ "$i" -ge "$voter_count" ] || voters+=("$name")
    [ "$i" -ge "$disk_count" ] || disks+=("$name")
  done
  for name in "${instances[@]}"; do
    write_settings "$name"
  done
}

has_disk() { case " ${disks[*]} " in *" $1 "*) ;; *) return 1 ;; esac; }

# Prints a submission group for each data centre: the instances with disks that
# are in it, or all of them if none is.
submission_groups() {
  local centre voter inside
  [ ${#disks[@]} -gt 0 ] || return 0
  for centre in $(printf '%s\n' "${centre_of[@]}" | sort -u); do
    inside=()
    for voter in "${disks[@]}"; do
      [ "${centre_of[$voter]}" != "$centre" ] || inside+=("$voter")
    done
    [ ${#inside[@]} -gt 0 ] || inside=("${disks[@]}")
    echo "submissions-$centre = $(IFS=,; echo "${inside[*]}")"
  done
}

write_settings() {
  local name=$1 other
  mkdir -p "$folder/$name"
  {
    printf '[instance]\nname = %s\ndata-centre = %s\n' "$name" "${centre_of[$name]}"
    ! has_disk "$name" || echo "data-folder = $folder/$name"
    printf '[listen]\nthreads = 2\ncallers = %s\noperators = %s\npeers = %s\n' \
      "${callers_of[$name]}" "${operators_of[$name]}" "${peers_of[$name]}"
    printf '[endpoints]\nallowed-networks = 127.0.0.0/8\n[instances]\n'
    for other in "${instances[@]}"; do
      echo "$other = ${centre_of[$other]} ${peers_of[$other]} ${callers_of[$other]}$(has_disk "$other" && echo ' disk' || true)"
    done
    echo "[groups]"
    echo "configuration = $(IFS=,; echo "${voters[*]}")"
    submission_groups
  } > "$folder/$name.ini"
}

start() {
  "$daemon" --settings "$folder/$1.ini" >> "$folder/$1.log" 2>&1 &
  process_of[$1]=$!
}

kill_hard() {
  kill -KILL "${process_of[$1]}"
  wait "${process_of[$1]}" 2>/dev/null || true
  unset "process_of[$1]"
}

is_ready() { curl -fs "http://${callers_of[$1]}/readyz"; }

start_all() {
  local name
  for name in "${instances[@]}"; do
    start "$name"
  done
  for name in "${instances[@]}"; do
    wait_until_ready "$name"
  done
}

# Waits for an instance; shows the end of its log if it does not become ready.
wait_until_ready() {
  local attempts=600
  until is_ready "$1" >/dev/null 2>&1; do
    attempts=$((attempts - 1))
    if [ "$attempts" -eq 0 ] || ! kill -0 "${process_of[$1]}" 2>/dev/null; then
      echo "measure: readiness of $1 did not happen; its last lines:" >&2
      tail -n 5 "$folder/$1.log" >&2
      exit 1
    fi
    sleep 0.1
  done
}

# Starts a stand-in that announces itself at all instances. Arguments: its name,
# its other flags.
start_standin() {
  local standin_name=$1 instance flags=()
  shift
  for instance in "${instances[@]}"; do
    flags+=(--instance "${callers_of[$instance]}")
  done
  "$standin" --name "$standin_name" "$@" "${flags[@]}" \
    > "$folder/$standin_name.log" 2>&1 &
  process_of[$standin_name]=$!
}

# Whether an instance can claim keys of one data centre.
has_lease() { [ "$(metric "$1" executor_leases)" = 1 ]; }

# Whether an instance knows a number of endpoints.
knows_endpoints() { [ "$(metric "$1" endpoints)" = "$2" ]; }

# Prints a metric of an instance, without the prefix almondspoke_.
metric() {
  curl -fs "http://${callers_of[$1]}/metrics" |
    awk -v name="almondspoke_$2{" 'index($0, name) == 1 { printf "%.0f\n", $NF }'
}

leader() {
  local name
  for name in "${voters[@]}"; do
    if [ -n "${process_of[$name]:-}" ] &&
      [ "$(metric "$name" configuration_role)" = 6 ]; then
      echo "$name"
      return 0
    fi
  done
  return 1
}

# Microseconds since the epoch.
now_us() { echo "${EPOCHREALTIME/[.,]/}"; }

# Prints the TCP bytes and segments, both ways, that an instance has exchanged
# with its peers on the connections that are open.
peer_segments() {
  ss -tinHOp state established | awk -v own="pid=${process_of[$1]}," \
    -v ports=" ${peers_of[*]} " '
    index($0, own) && (index(ports, " " $3 " ") || index(ports, " " $4 " ")) {
      for (i = 5; i <= NF; ++i) {
        split($i, field, ":")
        if (field[1] == "bytes_sent" || field[1] == "bytes_received")
          bytes += field[2]
        if (field[1] == "segs_out" || field[1] == "segs_in")
          segments += field[2]
      }
    }
    END { printf "%.0f %.0f\n", bytes, segments }'
}

# Prints the head of the table that summary fills.
summary_head() {
  printf '| what | unit | samples | median | p99 | largest |\n'
  printf '|---|---|---|---|---|---|\n'
}

# Reads numbers, one a line; prints a row of a table. Arguments: what, unit.
summary() {
  sort -n | awk -v what="$1" -v unit="$2" '
    { value[NR] = $1 }
    END {
      if (NR == 0) { printf "| %s | %s | 0 | | | |\n", what, unit; exit }
      p99 = int(NR * 0.99 + 0.999999); if (p99 > NR) p99 = NR
      printf "| %s | %s | %d | %.1f | %.1f | %.1f |\n", what, unit, NR,
        value[int((NR + 1) / 2)], value[p99], value[NR]
    }'
}
