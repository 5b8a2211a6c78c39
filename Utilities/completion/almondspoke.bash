# Completion of almondspoke for bash. Source it, or install it as
# /usr/share/bash-completion/completions/almondspoke.

_almondspoke() {
  local commands=(
    "submit"
    "call"
    "jobs show"
    "jobs cancel"
    "rules check"
    "rules diff"
    "rules apply"
    "rules rollback"
    "rules show"
    "rules history"
    "rules explain"
    "voters show"
    "voters add"
    "voters remove"
    "data-centres evacuate"
    "data-centres readmit"
    "data-centres list"
    "endpoints list"
    "instances list"
    "status"
    "settings check"
    "manifest check"
    "explain"
    "bench"
    "help"
    "version"
  )
  local common="--json --callers --operators --timeout-ms --help"
  local current="${COMP_WORDS[COMP_CWORD]}"
  local typed="${COMP_WORDS[*]:1:COMP_CWORD-1}"
  local words=() command
  local options="$common"

  case "$typed" in
    "rules apply"*|"rules rollback"*)
      options+=" --base --request-id --author" ;;
    "voters add"*|"voters remove"*)
      options+=" --group --base --request-id --author" ;;
    "voters show"*) options+=" --group" ;;
    "manifest check"*) options+=" --in-force" ;;
    "rules diff"*|"rules show"*) options+=" --version" ;;
    "rules explain"*) options+=" --file --version" ;;
    "rules history"*) options+=" --limit" ;;
    "data-centres evacuate"
    "data-centres readmit"
    "data-centres list"
    "endpoints list"*) options+=" --service" ;;
    bench*) options+=" --targets --seed --start-log --svg --markdown" ;;
    submit*) options+=" --key --wait-ms" ;;
    call*) options+=" --data --key --idempotent --kind --team --urgency --deadline-ms" ;;
  esac

  case "${COMP_WORDS[COMP_CWORD-1]}" in
    --urgency) mapfile -t COMPREPLY < <(compgen -W "first normal last" -- "$current"); return ;;
    --idempotent) mapfile -t COMPREPLY < <(compgen -W "true false" -- "$current"); return ;;
  esac

  if [[ $current == -* ]]; then
    mapfile -t COMPREPLY < <(compgen -W "$options" -- "$current")
    return
  fi
  for command in "${commands[@]}"; do
    if [ "$COMP_CWORD" -eq 1 ]; then
      words+=("${command%% *}")
    elif [ "$COMP_CWORD" -eq 2 ] && [[ $command == "${COMP_WORDS[1]} "* ]]; then
      words+=("${command#* }")
    fi
  done
  if [ ${#words[@]} -gt 0 ]; then
    mapfile -t COMPREPLY < <(compgen -W "${words[*]}" -- "$current" | sort -u)
  else
    mapfile -t COMPREPLY < <(compgen -f -- "$current")
  fi
}
complete -F _almondspoke almondspoke
