# Functions for the subcommands that submit jobs in an open loop. To be sourced
# after common.sh.

# What the workers of a run look like, and how long each task takes.
workers=${workers:-12} worker_cores=${worker_cores:-8} work_ms=${work_ms:-400}
worker_memory=34359738368
started=$folder/started
submitted=$folder/submitted
answers=$folder/answers

# Starts the workers, six to a rack, with the flags given.
start_workers() {
  local i name
  for ((i = 0; i < workers; ++i)); do
    start_standin "worker-$i" --service workers --cores "$worker_cores" \
      --slots 64 --memory "$worker_memory" --rack "rack-$((i / 6))" \
      --work-ms "$work_ms" --start-log "$started" "$@"
  done
  for name in "${instances[@]}"; do
    wait_until "the executor lease of $name" has_lease "$name"
    wait_until "the workers at $name" knows_endpoints "$name" "$workers"
  done
}

# Writes job bodies of 1 to 15 equal tasks. Arguments: kind, the declared
# members of a task, the cores and the memory that it uses.
write_jobs() {
  local kind=$1 declared=$2 cores=$3 memory=$4 tasks i separator body
  body="\"body\":\"{\\\\\"cores\\\\\":$cores,\\\\\"memoryBytes\\\\\":$memory}\""
  for tasks in {1..15}; do
    separator=
    {
      printf '{"service":"workers","kind":"%s","timeoutMs":60000,"tasks":[' "$kind"
      for ((i = 0; i < tasks; ++i)); do
        printf "%s{$body,%s}" "$separator" "$declared"
        separator=,
      done
      printf ']}'
    } > "$folder/$kind-$tasks.json"
  done
}

# Prints Poisson arrivals: time in us, kind, tasks. Arguments: seconds, seed,
# then a kind and its tasks a second, any number of times.
arrivals() {
  local seconds=$1 seed=$2
  shift 2
  while [ $# -gt 0 ]; do
    awk -v seconds="$seconds" -v seed="$seed" -v kind="$1" -v rate="$2" '
      BEGIN {
        srand(seed)
        # Jobs have 8 tasks on average.
        for (at = 0; rate > 0; ) {
          at -= log(1 - rand()) * 8 / rate
          if (at >= seconds) break
          printf "%d %s %d\n", at * 1000000, kind, 1 + int(rand() * 15)
        }
      }'
    seed=$((seed + 1))
    shift 2
  done | sort -n
}

submit_job() {
  local kind=$1 tasks=$2 key=$3 instance=$4
  curl -s -m 70 -o /dev/null -w "$kind $tasks %{http_code} %{time_total}\n" \
    -H "Idempotency-Key: $key" --data-binary "@$folder/$kind-$tasks.json" \
    "http://${callers_of[$instance]}/v1/jobs?wait=60000" >> "$answers" || true
}

# Submits the arrivals of standard input at all instances in turn, and waits for
# the answers.
submit_arrivals() {
  local origin at kind tasks number=0 key pause jobs_running=()
  : > "$started"
  : > "$submitted"
  : > "$answers"
  exec {never}<> <(:)
  origin=$(now_us)
  while read -r at kind tasks; do
    pause=$((origin + at - $(now_us)))
    if [ "$pause" -gt 1000 ]; then
      read -r -t "$(printf '%d.%06d' $((pause / 1000000)) $((pause % 1000000)))" \
        -u "$never" || true
    fi
    key="$number"
    echo "centre-0%3A$key $kind $(((origin + at) / 1000))" >> "$submitted"
    submit_job "$kind" "$tasks" "centre-0:$key" \
      "${instances[$((number % ${#instances[@]}))]}" &
    jobs_running+=($!)
    number=$((number + 1))
  done
  wait "${jobs_running[@]}"
  exec {never}>&-
}

# Prints the wait of each started task of a kind, or of all, in ms.
task_waits() {
  awk -v wanted="${1:-}" '
    NR == FNR { kind[$1] = $2; at[$1] = $3; next }
    { split($1, attempt, "%23"); key = attempt[1] }
    key in at && (wanted == "" || kind[key] == wanted) { print $4 - at[key] }
  ' "$submitted" "$started"
}

# Prints a percentile of the numbers of standard input.
percentile() {
  sort -n | awk -v share="$1" '{ value[NR] = $1 }
    END { i = int(NR * share + 0.999999); printf "%d", NR ? value[i < 1 ? 1 : i] : 0 }'
}

# Prints the tasks that started more than once.
started_twice() { cut -d ' ' -f 1 "$started" | sort | uniq -d | wc -l; }

# Prints the sum of a metric over all instances.
total() {
  local name sum=0
  for name in "${instances[@]}"; do
    sum=$((sum + $(metric "$name" "$1")))
  done
  echo "$sum"
}

# Ends all processes, so that another layout can be started.
end_run() {
  local process
  for process in "${process_of[@]}"; do
    kill -KILL "$process" 2>/dev/null || true
    wait "$process" 2>/dev/null || true
  done
  process_of=() callers_of=() operators_of=() peers_of=() centre_of=()
  instances=() voters=() disks=()
  rm -rf "$folder"/instance-* "$folder"/*.log
}
