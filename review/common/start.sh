# Sourced by the scripts of the cases: runs a case's program with the packages
# of the deploy file's build.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
export PYTHONPATH="$root:$root/target/deps" PYTHONDONTWRITEBYTECODE=1
run_case() {
    local program
    program=$(realpath "$1")
    cd "$root" || exit 2
    [ -d target/deps ] || { echo 'target/deps is missing' >&2; exit 2; }
    exec python3 "$program"
}
