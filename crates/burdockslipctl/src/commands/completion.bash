# Completes the command line of burdockslipctl in bash; load it with
#   source <(burdockslipctl completion bash)
_burdockslipctl() {
    local word=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD-1]}
    local commands="check show diff apply key status completion"
    local options="--json --store --settings --help"
    local item
    for item in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        case $item in
            check | diff) commands="" ;;
            show) commands="" options+=" --output" ;;
            apply) commands="" options+=" --base --wait --wait-seconds --admin-port" ;;
            key) commands="issue list withdraw" ;;
            issue | list | withdraw | bash) commands="" ;;
            status) commands="" options+=" --admin-port" ;;
            completion) commands="bash" ;;
        esac
    done
    case $before in
        check | diff | apply | --settings | --output | --base)
            COMPREPLY=($(compgen -f -- "$word"))
            return ;;
        --store | --wait-seconds | --admin-port)
            COMPREPLY=()
            return ;;
    esac
    COMPREPLY=($(compgen -W "$commands $options" -- "$word"))
}
complete -F _burdockslipctl burdockslipctl
