"""Route: the module takes the GET and says what is to be done first."""


def route(router, get, now):
    get.handle = router.start_request(get.asked, now)
    return get.handle.route(now)
