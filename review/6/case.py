"""Another writer's entry; routers that start then never read the list of servers."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import stage as st  # noqa: E402

ROUTERS = 2
REQUESTS_PER_S = 20.0  # on each router
WORK_S = 0.06
CALM_S = 6.0
DOWN_S = 1.5  # closing, down_s
RECOVERY_S = 12.0
JUDGED_S = 8.0
# An entry with a number that no reader can use as a time.
FOREIGN = (
    b'{"service": "other", "address": "10.9.0.7:8080", "zone": "x", "state": "ready", '
    b'"slots": 4, "seq": 1, "leaves_ms": 1' + b"0" * 400 + b"}"
)


async def main(stage: st.Stage) -> bool:
    """Play the case; return whether the rule was broken."""

    def make_server(name: str):
        async def serve(reader, writer) -> None:
            try:
                while request := await st.read_request(reader):
                    if request.headers.get("x-shallotpoint-expect-instance") != name:
                        writer.write(st.answer_head(request, 421, length=0))
                        continue
                    stage.note(f"server {name} runs {request.id}")
                    await asyncio.sleep(WORK_S)
                    writer.write(st.answer_head(request, length=2) + b"ok")
            except OSError:
                pass
            finally:
                writer.close()

        return serve

    route = {
        "name": "count-file",
        "host": st.HOST,
        "prefix": "/puxa403/",
        "route-kind": "non_idempotent",
        "timeout-ms": 800,
        "goal-ms": 300,
        "priority": 2,
        "service": "ledger-svc",
        "max-attempts": 1,
        "open": False,
    }
    store = await stage.start_store()
    stage.write_config([route], [{"name": "ledger-svc"}])
    for number in range(4):
        name = f"i-{number}"
        address = await stage.serve(make_server(name))
        born = 1_700_000_000_000 + number
        stage.list_server(name, "ledger-svc", address, born=born, slots=6)
    routers = [
        await stage.start_router(f"edge-{number}", store) for number in range(ROUTERS)
    ]
    await stage.wait_ready()
    await asyncio.sleep(1.0)

    async def send(router: st.Router, answers: list[st.Answer]) -> None:
        answer = await stage.request(
            router, "/puxa403/2f", body=b"x" * 600, deadline_ms=1500
        )
        answers.append(answer)
        stage.note(f"client: {answer.request} got {answer.status} from {router.name}")

    async def load(duration_s: float) -> float:
        """Send requests for a time; return the share that is served."""
        answers: list[st.Answer] = []
        clients = []
        until_s = stage.now + duration_s
        while stage.now < until_s:
            clients += [asyncio.create_task(send(r, answers)) for r in routers]
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*clients)
        return sum(a.status == 200 and a.complete for a in answers) / len(answers)

    before = await load(CALM_S)
    stage.note(f"served before: {before:.3f}")
    if st.TROUBLE:
        stage.write("servers/node-7", FOREIGN)
        stage.note("another writer's entry stands under servers/node-7")
    between = await load(CALM_S)
    stage.note(f"served with that entry: {between:.3f}")
    for router in routers:
        await router.kill()
    stage.note("all routers are killed")
    await asyncio.sleep(DOWN_S)
    for router in routers:
        await router.start()
    await load(RECOVERY_S)
    ready = [await router.is_ready() for router in routers]
    after = await load(JUDGED_S)
    stage.note(
        f"ready: {ready}, served later than {RECOVERY_S} s after that: {after:.3f}"
    )
    return after < 0.25 <= before


st.run(main, HERE)
